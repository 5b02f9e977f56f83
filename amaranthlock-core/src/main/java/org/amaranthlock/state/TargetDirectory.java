package org.amaranthlock.state;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Directory of the targets that this router knows and their availability. */
public interface TargetDirectory {
    /** Returns the targets of a service in this router's subset, ordered by id. */
    List<Target> targets(ServiceName service);

    /** Returns all targets in this router's subset, ordered by id. */
    List<Target> allTargets();

    /** Returns a target by id, even if it is outside this router's subset; empty if unknown. */
    Optional<Target> target(TargetId id);

    /** Returns the reason why a target receives no new requests; empty if it is available. */
    Optional<String> unavailableReason(TargetId id);

    /** Returns whether a target receives new requests. */
    default boolean isAvailable(TargetId id) {
        return unavailableReason(id).isEmpty();
    }
}
