package org.amaranthlock.transport;

import org.amaranthlock.coordination.ObjectApiCommand;

/**
 * Carries out operations on the platform.
 *
 * <p>Every command is answered by exactly one {@link org.amaranthlock.coordination.ObjectApiEvent} to the
 * {@link EventSink}. A write whose answer is lost or late is answered by {@code WriteUnknown}, never by
 * {@code OperationFailed}.
 */
public interface ObjectApiTransport extends Lifecycle {
    /** Starts an operation; never blocks. */
    void execute(ObjectApiCommand command);
}
