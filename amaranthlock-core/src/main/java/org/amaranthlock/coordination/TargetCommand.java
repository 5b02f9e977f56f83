package org.amaranthlock.coordination;

import org.amaranthlock.model.Target;

/** Command to a target that is not about a single request. */
public sealed interface TargetCommand extends Command {
    /** The target. */
    Target target();

    /** Reads the load report and the cache events; answered by {@link TargetEvent}s. */
    record Poll(Target target) implements TargetCommand {}

    /**
     * Gives an order to an engine; answered by {@link TargetEvent.OrderAnswered}.
     *
     * @param target the engine
     * @param order number of the order
     * @param kind {@code load-model}, {@code load-adapter}, {@code set-version} or {@code set-role}
     * @param argument model, adapter, version or role
     * @param fence fencing number
     */
    record SendOrder(Target target, long order, String kind, String argument, long fence) implements TargetCommand {}
}
