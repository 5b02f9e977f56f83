package org.amaranthlock.coordination.reservation;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/**
 * Engines of a service in one failure domain that have the same keeper.
 *
 * @param part number of the group among those of the service and the failure domain
 */
public record EngineGroup(ServiceName service, FailureDomain domain, int part) {
    /**
     * Largest mean number of engines in a group; a failure domain with more engines has several groups. Bounds the queries
     * that one keeper gets.
     */
    public static final int MAX_ENGINES = 24;

    /** Multiplier that spreads the hash codes of similar ids (Knuth's multiplicative hashing). */
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    public EngineGroup {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(domain, "failure domain");
        Arguments.requireNonNegative(part, "part");
    }

    /**
     * Returns the group of an engine.
     *
     * @param enginesInDomain registered engines of the service in the failure domain
     */
    public static EngineGroup of(ServiceName service, FailureDomain domain, TargetId engine, int enginesInDomain) {
        int parts = Math.max(1, Math.ceilDiv(enginesInDomain, MAX_ENGINES));
        return new EngineGroup(
                service, domain, Math.floorMod(engine.value().hashCode() * HASH_MULTIPLIER >>> 8, parts));
    }

    /** Returns the key by which all hosts order the possible keepers. */
    String key() {
        return service + "/" + domain + "/" + part;
    }
}
