package org.amaranthlock.coordination.targetlimit;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/**
 * Asks for a permit to send one request to one of several limited targets.
 *
 * @param service service of the targets
 * @param targets targets in order of preference; at least one
 * @param priority priority of the request
 */
public record PermitRequest(ServiceName service, List<TargetId> targets, Priority priority) {
    /** Priority of a request for a permit. */
    public enum Priority {
        /** Orders and streams. */
        HIGH,
        /** Requests that are repeated cheaply, and permits that are fetched in advance. */
        LOW
    }

    public PermitRequest {
        Objects.requireNonNull(service, "service");
        targets = List.copyOf(targets);
        Arguments.require(!targets.isEmpty(), "a permit request must name a target");
        Objects.requireNonNull(priority, "priority");
    }
}
