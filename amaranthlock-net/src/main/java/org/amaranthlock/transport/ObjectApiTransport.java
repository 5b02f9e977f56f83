package org.amaranthlock.transport;

import org.amaranthlock.coordination.ObjectApiCommand;

/**
 * Executes operations of the platform's object API.
 *
 * <p>Every command results in exactly one {@link org.amaranthlock.coordination.ObjectApiEvent} that the
 * {@link EventSink} receives. A write whose response is lost or late results in {@code WriteUnknown}, never in
 * {@code OperationFailed}, because it may have taken effect.
 */
public interface ObjectApiTransport extends Lifecycle {
    /** Starts an operation; never blocks. */
    void execute(ObjectApiCommand command);
}
