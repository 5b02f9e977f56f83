package org.amaranthlock.coordination;

import org.amaranthlock.model.Target;

/** Command to a target that does not concern a single client request. */
public sealed interface TargetCommand extends Command {
    /** Returns the target. */
    Target target();

    /** Reads the load report and the cache events; the responses are {@link TargetEvent}s. */
    record Poll(Target target) implements TargetCommand {}

    /**
     * Sends an order to an engine; the response is {@link TargetEvent.OrderResponseReceived}.
     *
     * @param target the engine
     * @param order number that matches order and response
     * @param kind {@code load-model}, {@code load-adapter}, {@code set-version} or {@code set-role}
     * @param argument model, adapter, version or role
     * @param fence fencing number
     */
    record SendOrder(Target target, long order, String kind, String argument, long fence) implements TargetCommand {}
}
