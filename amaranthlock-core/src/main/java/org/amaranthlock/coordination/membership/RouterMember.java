package org.amaranthlock.coordination.membership;

import java.util.Objects;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;

/**
 * A router as another router knows it.
 *
 * @param host the router
 * @param address IP number and port of its peer transport
 * @param region its region
 * @param failureDomain its failure domain
 */
public record RouterMember(HostId host, String address, Region region, FailureDomain failureDomain) {
    public RouterMember {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
