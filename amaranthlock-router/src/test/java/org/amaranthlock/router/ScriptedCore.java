package org.amaranthlock.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.NodeCore;

/** Decision core whose commands are set by the test, either in reaction to events or for the next tick. */
public final class ScriptedCore implements NodeCore {
    private static final long WAIT_SECONDS = 10;

    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final ConcurrentLinkedQueue<Command> commands = new ConcurrentLinkedQueue<>();
    private volatile Function<Event, List<Command>> script = event -> List.of();

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        if (event instanceof Event.Tick) {
            List<Command> due = new ArrayList<>();
            for (Command next = commands.poll(); next != null; next = commands.poll()) {
                due.add(next);
            }
            return due;
        }
        events.add(event);
        return script.apply(event);
    }

    /** Sets the function that returns the commands for an event. */
    public void onEvent(Function<Event, List<Command>> newScript) {
        script = newScript;
    }

    /** Queues commands that are returned at the next tick. */
    public void returnAtNextTick(Command... next) {
        commands.addAll(List.of(next));
    }

    /** Waits for the next event of a type; discards the events before it. */
    public <T extends Event> T awaitEvent(Class<T> type) throws InterruptedException {
        while (true) {
            Event event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError(
                        "No " + type.getSimpleName() + " event received within " + WAIT_SECONDS + " s");
            }
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    /** Returns the first received event of a type that was not awaited yet, if any. */
    public <T extends Event> Optional<T> findReceived(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast).findFirst();
    }
}
