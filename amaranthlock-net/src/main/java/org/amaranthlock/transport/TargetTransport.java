package org.amaranthlock.transport;

import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.TargetCommand;

/**
 * Executes commands to targets: {@code OpenStream}, {@code AttachStream}, {@code CancelAttempt},
 * {@code CallService}, {@code Reconcile} and all {@link TargetCommand}s.
 *
 * <p>Every attempt ends with exactly one of {@code StreamEnded}, {@code ServiceResponded}, {@code Reconciled} and
 * {@code AttemptFailed}, unless it was cancelled. {@code NOT_SENT} is reported only if it is certain that no byte of
 * the request left the process.
 */
public interface TargetTransport extends Lifecycle {
    /** Starts a command that belongs to a request; never blocks. */
    void execute(RequestCommand command);

    /** Starts a command that belongs to no request; never blocks. */
    void execute(TargetCommand command);
}
