package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/**
 * One start of a target, as it registered itself.
 *
 * @param id identity that the target checks on each request
 * @param service service that it belongs to
 * @param address IP number of its host
 * @param port TCP port
 * @param failureDomain where it runs
 * @param slots requests that it runs at once
 * @param draining whether it takes no new requests
 * @param coldMillis how long it remains slow after its start, milliseconds
 * @param startedAtMillis Unix time of its start in milliseconds; 0 if unknown
 */
public record EntryTarget(
        TargetId id,
        ServiceName service,
        String address,
        int port,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        long coldMillis,
        long startedAtMillis) {
    public EntryTarget {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Arguments.requireText(address, "address");
        Objects.requireNonNull(failureDomain, "failure domain");
    }

    /** Returns whether {@code other} is the same start of the same target at the same place. */
    public boolean isSameIncarnation(EntryTarget other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && port == other.port
                && address.equals(other.address);
    }

    /** Returns address and port, joined by a colon. */
    public String authority() {
        return address + ":" + port;
    }
}
