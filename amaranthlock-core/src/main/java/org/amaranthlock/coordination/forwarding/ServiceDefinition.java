package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;

/**
 * What the configuration says of a service.
 *
 * @param name the service
 * @param maxConnections connections that one target accepts from all callers together
 * @param engine whether its targets are model engines
 * @param kvCacheTokens memory of an engine, tokens; 0 if it is not known
 * @param kvCacheBackup whether an engine can keep a running copy of a request's memory on another engine
 * @param kvCacheTransfer whether an engine can be asked to copy a request's memory to another engine
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
        Arguments.requireNonNegative(kvCacheTokens, "memory");
    }

    /** Returns whether {@code tokens} more than {@code held} stay within a part of an engine's memory, if it is known. */
    boolean hasCapacity(InFlightLoad held, long tokens, double part) {
        return kvCacheTokens == 0 || held.tokens() + tokens <= part * kvCacheTokens;
    }
}
