package org.amaranthlock.coordination.membership;

import java.util.Objects;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;

/**
 * Describes a router that is a member of the cluster.
 *
 * @param host id of the router
 * @param address IP address and port of its peer transport
 * @param region region of the router
 * @param failureDomain failure domain of the router
 */
public record RouterMember(HostId host, String address, Region region, FailureDomain failureDomain) {
    public RouterMember {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
