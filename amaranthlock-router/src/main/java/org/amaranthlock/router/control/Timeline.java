package org.amaranthlock.router.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.TimelineEvent;

/** Bounded in-memory log of the latest events of this process, served to operators; thread-safe. */
public final class Timeline {
    /** Number of events that a router process retains. */
    public static final int DEFAULT_CAPACITY = 10_000;

    private final HostId host;
    private final int capacity;
    private final LongSupplier hybridClock;
    private final Runnable onDrop;
    private final Deque<TimelineEvent> events = new ArrayDeque<>();

    /**
     * Creates an empty timeline.
     *
     * @param host this process
     * @param capacity maximum number of retained events
     * @param hybridClock hybrid logical clock of the process
     * @param onDrop called for each evicted event
     */
    public Timeline(HostId host, int capacity, LongSupplier hybridClock, Runnable onDrop) {
        Arguments.requirePositive(capacity, "capacity");
        this.host = host;
        this.capacity = capacity;
        this.hybridClock = hybridClock;
        this.onDrop = onDrop;
    }

    /** Adds an event with the current time; evicts the oldest event if the timeline is full. */
    public synchronized void add(String kind, String subject, String text) {
        if (events.size() == capacity) {
            events.removeFirst();
            onDrop.run();
        }
        events.addLast(new TimelineEvent(hybridClock.getAsLong(), host, kind, subject, text));
    }

    /** Returns the retained events, oldest first. */
    public synchronized List<TimelineEvent> events() {
        return new ArrayList<>(events);
    }
}
