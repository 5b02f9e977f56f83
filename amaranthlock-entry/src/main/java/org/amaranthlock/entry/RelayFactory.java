package org.amaranthlock.entry;

import java.util.Objects;
import org.amaranthlock.coordination.forwarding.ForwardingPort;
import org.amaranthlock.coordination.forwarding.RelayStart;
import org.amaranthlock.coordination.forwarding.RelayedRequest;
import org.amaranthlock.coordination.forwarding.RequestAttributes;
import org.amaranthlock.coordination.forwarding.Route;
import org.amaranthlock.coordination.forwarding.TargetLoadBalancer;
import org.amaranthlock.model.ServiceName;

/**
 * Creates the state machine of a request that is passed to another host.
 *
 * @param route route of the request
 * @param service service to which the route leads it
 * @param configurationVersion configuration by which it was admitted
 * @param loadBalancer knows the hosts that have a path to the targets
 */
record RelayFactory(Route route, ServiceName service, long configurationVersion, TargetLoadBalancer loadBalancer) {
    RelayFactory {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(loadBalancer, "load balancer");
    }

    RelayedRequest create(RequestAttributes attributes, RelayStart start, ForwardingPort port) {
        return new RelayedRequest(attributes, route, service, loadBalancer, start, port);
    }
}
