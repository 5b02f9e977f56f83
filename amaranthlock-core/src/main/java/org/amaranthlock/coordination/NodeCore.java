package org.amaranthlock.coordination;

import java.util.List;

/**
 * All decisions of one router.
 *
 * <p>Implementations are deterministic: the same events at the same times, with the same seed, give the same commands.
 * They use no threads, sockets or clocks. A harness or a daemon turns the outside world into events and carries the
 * commands out. Not thread-safe.
 */
public interface NodeCore {
    /** Time between two {@link Event.Tick}s, in milliseconds. */
    long TICK_MILLIS = 50;

    /**
     * Reacts to an event.
     *
     * @param event what happened
     * @param nowMillis time of the router's clock in milliseconds since the epoch; never goes back
     * @return the commands, to be carried out in this order
     */
    List<Command> handle(Event event, long nowMillis);
}
