package org.amaranthlock.router.control;

import java.util.Optional;
import org.amaranthlock.coordination.Event;

/** Task for the control thread that may produce an event for the decision core. */
@FunctionalInterface
public interface ControlTask {
    /**
     * Runs the task on the control thread, where the core's views may be read.
     *
     * @param nowMillis current time of the router's clock, in milliseconds
     * @return the event that the core processes next, if any
     */
    Optional<Event> run(long nowMillis);
}
