package org.amaranthlock.router.cli;

import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/** Failure of a command, with its exit code. */
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
