package org.amaranthlock.coordination;

import java.util.List;
import org.amaranthlock.model.TargetId;

/** Event about a target that does not concern a single client request. */
public sealed interface TargetEvent extends Event {
    /** Returns the target. */
    TargetId target();

    /**
     * A load report was received; it describes the load {@code ageMillis} ago.
     *
     * @param target the target
     * @param running number of running requests
     * @param queued number of queued requests
     * @param ageMillis age of the report in milliseconds
     */
    record LoadReported(TargetId target, int running, int queued, long ageMillis) implements TargetEvent {}

    /** Prompt prefixes were added to or evicted from the target's cache; reported late and incompletely. */
    record CacheChanged(TargetId target, List<Long> added, List<Long> evicted) implements TargetEvent {
        public CacheChanged {
            added = List.copyOf(added);
            evicted = List.copyOf(evicted);
        }
    }

    /** The target reported that it is draining and accepts no new requests. */
    record Draining(TargetId target) implements TargetEvent {}

    /** No connection to the target can be established. */
    record Unreachable(TargetId target) implements TargetEvent {}

    /** The target responded to a probe. */
    record Reachable(TargetId target) implements TargetEvent {}

    /** An engine responded to an order; {@code accepted} is false if it rejected the fencing number. */
    record OrderResponseReceived(TargetId target, long order, boolean accepted, String detail) implements TargetEvent {}
}
