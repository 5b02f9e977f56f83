package org.amaranthlock.protocol.peer;

import java.util.Objects;
import org.amaranthlock.model.TargetId;

/**
 * Drain state of one target, disseminated by gossip.
 *
 * @param target the target
 * @param draining whether it accepts no new work
 * @param revision counter that follows the observing router's clock in milliseconds and increases with every update of
 *     the target; the highest revision wins
 */
public record TargetUpdate(TargetId target, boolean draining, long revision) {
    public TargetUpdate {
        Objects.requireNonNull(target, "target");
    }
}
