package org.amaranthlock.transport;

import org.amaranthlock.coordination.PlatformCommand;

/**
 * Carries out operations on the platform.
 *
 * <p>Every command is answered by exactly one {@link org.amaranthlock.coordination.PlatformEvent} to the
 * {@link EventSink}. A write whose answer is lost or late is answered by {@code WriteUnknown}, never by
 * {@code OperationFailed}.
 */
public interface PlatformTransport extends Service {
    /** Starts an operation; never blocks. */
    void execute(PlatformCommand command);
}
