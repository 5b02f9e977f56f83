package org.amaranthlock.coordination.rollout;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Order of an operator to move the traffic of a service to another version.
 *
 * @param service service whose traffic is moved
 * @param version version to which it is moved
 * @param durationMillis time within which the roll-out must end, in milliseconds
 * @param id identity of this order; another one for the same service, or a changed one, has another id
 */
public record RolloutOrder(ServiceName service, SoftwareVersion version, long durationMillis, String id) {
    public RolloutOrder {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Arguments.requirePositive(durationMillis, "duration");
        Arguments.requireText(id, "order id");
    }
}
