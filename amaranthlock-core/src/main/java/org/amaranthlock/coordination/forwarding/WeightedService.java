package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;

/**
 * One of the services among which a route divides its requests.
 *
 * @param service the service
 * @param weight its share relative to the other weights of the route; zero takes no requests
 */
public record WeightedService(ServiceName service, int weight) {
    public WeightedService {
        Objects.requireNonNull(service, "service");
        Arguments.requireNonNegative(weight, "weight");
    }
}
