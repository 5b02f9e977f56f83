package org.amaranthlock.transport;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.Event;

/** Collects events and hands them out with a deadline. */
public final class EventQueue implements EventSink {
    private static final long DEADLINE_SECONDS = 10;

    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();

    @Override
    public void accept(Event event) {
        events.add(event);
    }

    /** Returns the next event, which must be of a type. */
    public <T extends Event> T next(Class<T> type) throws InterruptedException {
        Event event = events.poll(DEADLINE_SECONDS, TimeUnit.SECONDS);
        assertWithMessage("next event").that(event).isInstanceOf(type);
        return type.cast(event);
    }

    /** Tells whether no event waits. */
    public boolean isEmpty() {
        return events.isEmpty();
    }
}
