package org.amaranthlock.protocol.peer;

import java.util.Objects;
import org.amaranthlock.model.TargetId;

/**
 * News about one target that a router passes on.
 *
 * @param target the target
 * @param draining whether it takes no new work
 * @param revision counter of the observing router's clock in milliseconds; the highest wins
 */
public record TargetUpdate(TargetId target, boolean draining, long revision) {
    public TargetUpdate {
        Objects.requireNonNull(target, "target");
    }
}
