package org.amaranthlock.router.control;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.transport.EventSink;

/** Unbounded queue of tasks for the control thread; thread-safe. */
public final class ControlQueue implements EventSink {
    private final LinkedBlockingQueue<ControlTask> tasks = new LinkedBlockingQueue<>();

    @Override
    public void accept(Event event) {
        Objects.requireNonNull(event, "event");
        tasks.add(new EventTask(event));
    }

    /** Queues a task that must run on the control thread; never blocks. */
    public void submit(ControlTask task) {
        tasks.add(Objects.requireNonNull(task, "task"));
    }

    /** Returns the number of queued tasks. */
    public int size() {
        return tasks.size();
    }

    /** Waits up to {@code timeoutNanos} for the next task; returns null if the timeout elapses first. */
    public ControlTask poll(long timeoutNanos) throws InterruptedException {
        return tasks.poll(timeoutNanos, TimeUnit.NANOSECONDS);
    }

    private record EventTask(Event event) implements ControlTask {
        @Override
        public Optional<Event> run(long nowMillis) {
            return Optional.of(event);
        }
    }
}
