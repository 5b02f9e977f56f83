package org.amaranthlock.transport;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.Event;

/** Event sink that records events, for tests that wait for them. */
public final class RecordingEventSink implements EventSink {
    private static final long DEADLINE_SECONDS = 10;

    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();

    @Override
    public void accept(Event event) {
        events.add(event);
    }

    /** Waits for the next event and asserts that it is of the given type. */
    public <T extends Event> T awaitNext(Class<T> type) throws InterruptedException {
        Event event = events.poll(DEADLINE_SECONDS, TimeUnit.SECONDS);
        assertWithMessage("next event").that(event).isInstanceOf(type);
        return type.cast(event);
    }

    /** Returns whether no recorded event is left. */
    public boolean isEmpty() {
        return events.isEmpty();
    }
}
