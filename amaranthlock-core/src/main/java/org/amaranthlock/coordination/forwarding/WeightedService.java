package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;

/**
 * Service that receives a share of the requests of a route.
 *
 * @param service the service
 * @param weight its share relative to the weights of the other services of the route; zero for no requests
 */
public record WeightedService(ServiceName service, int weight) {
    public WeightedService {
        Objects.requireNonNull(service, "service");
        Arguments.requireNonNegative(weight, "weight");
    }
}
