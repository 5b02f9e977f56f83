package org.amaranthlock.transport;

import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.TargetCommand;

/**
 * Carries out commands to targets: {@code OpenStream}, {@code AttachStream}, {@code CancelAttempt},
 * {@code CallService}, {@code Reconcile} and all {@link TargetCommand}s.
 *
 * <p>Every attempt ends with exactly one of {@code StreamEnded}, {@code ServiceAnswered}, {@code Reconciled} and
 * {@code AttemptFailed}, unless it was cancelled. {@code NOT_SENT} is reported only if certainly no byte of the request
 * left the process.
 */
public interface TargetTransport extends Lifecycle {
    /** Starts a command about a request; never blocks. */
    void execute(RequestCommand command);

    /** Starts another command; never blocks. */
    void execute(TargetCommand command);
}
