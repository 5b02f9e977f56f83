package org.amaranthlock.router.cli;

import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/** Thrown when a command fails; contains the exit code. */
final class CommandException extends AmaranthlockException {
    private final int exitCode;

    CommandException(int exitCode, ErrorCode code, String message) {
        super(code, message);
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
