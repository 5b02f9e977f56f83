package org.amaranthlock.transport;

import org.amaranthlock.coordination.Event;

/** Accepts events from any thread and passes them to the control thread in the order of arrival. */
@FunctionalInterface
public interface EventSink {
    /** Queues an event; never blocks. */
    void accept(Event event);
}
