package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.model.ServiceName;

/**
 * What the configuration says of a service.
 *
 * @param name the service
 * @param maxConnections connections that one target accepts from all callers together
 * @param engine whether its targets are model engines
 * @param copiesRuns whether an engine can keep a running copy of a request's memory on another engine
 */
public record ServiceDefinition(ServiceName name, int maxConnections, boolean engine, boolean copiesRuns) {
    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
    }
}
