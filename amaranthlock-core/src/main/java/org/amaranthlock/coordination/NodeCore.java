package org.amaranthlock.coordination;

import java.util.List;

/**
 * Decision core of one router, which turns events into commands.
 *
 * <p>Implementations are deterministic: the same events at the same times, with the same random seed, produce the same
 * commands. They use no threads, sockets or clocks. The router process, or a test simulation, creates the events and
 * executes the commands. Not thread-safe.
 */
public interface NodeCore {
    /** Interval between two {@link Event.Tick} events, in milliseconds. */
    long TICK_MILLIS = 50;

    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowMillis time of the router's clock in milliseconds since the epoch; never decreases
     * @return the resulting commands, in the order of execution
     */
    List<Command> handle(Event event, long nowMillis);
}
