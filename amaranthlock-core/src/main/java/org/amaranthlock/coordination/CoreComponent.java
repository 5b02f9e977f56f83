package org.amaranthlock.coordination;

import java.util.List;

/**
 * Component of the decision core.
 *
 * <p>Every event is offered to every component, in a fixed order; a component ignores events that do not concern it.
 * As with {@link NodeCore}, implementations are deterministic and use no threads, sockets or clocks. Not thread-safe.
 */
public interface CoreComponent {
    /**
     * Handles an event.
     *
     * @param event what happened
     * @param nowMillis time of the router's clock in milliseconds; never decreases
     * @return the commands, to be carried out in this order
     */
    List<Command> handle(Event event, long nowMillis);
}
