package org.amaranthlock.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/**
 * {@link NodeCore} that passes every event, and then each event that a component raises, to all components in order.
 */
public final class DefaultNodeCore implements NodeCore {
    /** Maximum number of events handled for one input event; more indicate an endless loop between components. */
    private static final int MAX_HANDLED_EVENTS = 100_000;

    private final List<CoreComponent> components;

    /** Creates a core whose components handle each event in the order of the list. */
    public DefaultNodeCore(List<CoreComponent> components) {
        this.components = List.copyOf(components);
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        Objects.requireNonNull(event, "event");
        List<Command> commands = new ArrayList<>();
        Deque<Event> events = new ArrayDeque<>();
        events.add(event);
        int handled = 0;
        while (!events.isEmpty()) {
            handled++;
            if (handled > MAX_HANDLED_EVENTS) {
                throw new AmaranthlockException(
                        ErrorCode.INTERNAL,
                        "components raise events in an endless loop; report this with the input event: " + event);
            }
            Event next = events.removeFirst();
            for (CoreComponent component : components) {
                collect(component.handle(next, nowMillis), commands, events);
            }
        }
        return commands;
    }

    private static void collect(List<Command> produced, List<Command> commands, Deque<Event> events) {
        for (Command command : produced) {
            if (command instanceof Command.Raise(Event raised)) {
                events.addLast(raised);
            } else {
                commands.add(command);
            }
        }
    }
}
