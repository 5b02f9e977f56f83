package org.amaranthlock.coordination;

import java.util.List;
import org.amaranthlock.model.TargetId;

/** News about a target that is not about a single request. */
public sealed interface TargetEvent extends Event {
    /** The target. */
    TargetId target();

    /**
     * A load report arrived; it shows the past.
     *
     * @param target the target
     * @param running requests that run
     * @param queued requests that wait
     * @param ageMillis age of the report, in milliseconds
     */
    record LoadReported(TargetId target, int running, int queued, long ageMillis) implements TargetEvent {}

    /** Prompt prefixes entered or left the target's cache; late and with gaps. */
    record CacheChanged(TargetId target, List<Long> added, List<Long> evicted) implements TargetEvent {
        public CacheChanged {
            added = List.copyOf(added);
            evicted = List.copyOf(evicted);
        }
    }

    /** The target said that it takes no new work. */
    record Draining(TargetId target) implements TargetEvent {}

    /** No connection to the target can be made. */
    record Unreachable(TargetId target) implements TargetEvent {}

    /** The target answered a probe. */
    record Reachable(TargetId target) implements TargetEvent {}

    /** An engine answered an order; {@code accepted} is false if it refused the fencing number. */
    record OrderAnswered(TargetId target, long order, boolean accepted, String detail) implements TargetEvent {}
}
