package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;

/**
 * Definition of a service in the configuration.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one target accepts in total
 * @param engine whether its targets are model engines
 * @param kvCacheTokens KV cache capacity of an engine, in tokens; 0 if unknown
 * @param kvCacheBackup whether an engine can continuously back up the KV cache of a request to another engine
 * @param kvCacheTransfer whether an engine can be asked to copy the KV cache of a request to another engine
 */
public record ServiceDefinition(
        ServiceName name,
        int maxConnections,
        boolean engine,
        long kvCacheTokens,
        boolean kvCacheBackup,
        boolean kvCacheTransfer) {
    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
        Arguments.requireNonNegative(kvCacheTokens, "KV cache tokens");
    }

    /**
     * Returns the free KV cache of an engine under a load, in tokens; {@link Long#MAX_VALUE} if its size is unknown.
     */
    long freeTokens(InFlightLoad inFlight) {
        return kvCacheTokens == 0 ? Long.MAX_VALUE : Math.max(0, kvCacheTokens - inFlight.tokens());
    }

    /**
     * Returns whether load and further tokens fit in a fraction of an engine's KV cache; true if its size is unknown.
     */
    public boolean hasCapacity(InFlightLoad inFlight, long tokens, double fraction) {
        return kvCacheTokens == 0 || inFlight.tokens() + tokens <= fraction * kvCacheTokens;
    }
}
