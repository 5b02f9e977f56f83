package org.amaranthlock.router.control;

import java.util.Optional;
import org.amaranthlock.coordination.Event;

/** Work for the control thread that may end in an event for the decision core. */
@FunctionalInterface
public interface ControlTask {
    /**
     * Runs on the control thread, where the core's views may be read.
     *
     * @param nowMillis time of the router's clock, in milliseconds
     * @return the event that the core handles next, if any
     */
    Optional<Event> run(long nowMillis);
}
