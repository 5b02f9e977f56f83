package org.amaranthlock.coordination;

import java.util.List;

/**
 * Component of the decision core.
 *
 * <p>Every event is passed to every component, in a fixed order; a component ignores events that do not concern it.
 * As with {@link NodeCore}, implementations are deterministic and use no threads, sockets or clocks. Not thread-safe.
 */
public interface CoreComponent {
    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowMillis time of the router's clock in milliseconds; never decreases
     * @return the resulting commands, in the order of execution
     */
    List<Command> handle(Event event, long nowMillis);
}
