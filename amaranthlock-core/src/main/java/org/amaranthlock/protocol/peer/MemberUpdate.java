package org.amaranthlock.protocol.peer;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;

/**
 * Membership state of one router, disseminated by gossip.
 *
 * @param host the router
 * @param address IP address and port of its peer transport
 * @param region its region
 * @param failureDomain its failure domain
 * @param state its state
 * @param refutation counter that the router itself increments to refute a suspicion
 */
public record MemberUpdate(
        HostId host, String address, Region region, FailureDomain failureDomain, RouterState state, int refutation) {
    public MemberUpdate {
        Objects.requireNonNull(host, "host");
        Arguments.requireText(address, "address");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
        Arguments.requireNonNegative(refutation, "refutation");
    }
}
