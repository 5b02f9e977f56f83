package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.coordination.targetlimit.TargetIncarnation;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;

/**
 * One incarnation of a target as it registered itself.
 *
 * @param id identity that the target verifies on each request
 * @param service service to which it belongs
 * @param address IP address of its host
 * @param port TCP port
 * @param failureDomain failure domain in which it runs
 * @param slots maximum number of requests that it executes concurrently
 * @param draining whether it accepts no new requests
 * @param remainingWarmUpMillis time until it is warmed up, in milliseconds; it is slow until then
 * @param startedAtMillis start time in Unix milliseconds; 0 if unknown
 * @param version version of its software; streams of two versions do not fit together
 */
public record EntryTarget(
        TargetId id,
        ServiceName service,
        String address,
        int port,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        long remainingWarmUpMillis,
        long startedAtMillis,
        SoftwareVersion version) {
    public EntryTarget {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Arguments.requireText(address, "address");
        Objects.requireNonNull(failureDomain, "failure domain");
        Objects.requireNonNull(version, "version");
    }

    /** Returns whether {@code other} is the same incarnation of the same target at the same address. */
    public boolean isSameIncarnation(EntryTarget other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && port == other.port
                && address.equals(other.address);
    }

    /** Returns this run of the target's process. */
    public TargetIncarnation incarnation() {
        return new TargetIncarnation(id, startedAtMillis, authority());
    }

    /** Returns the address and port, separated by a colon. */
    public String authority() {
        return address + ":" + port;
    }
}
