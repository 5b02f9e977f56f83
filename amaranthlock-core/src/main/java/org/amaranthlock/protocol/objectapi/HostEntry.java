package org.amaranthlock.protocol.objectapi;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;

/**
 * Entry of the platform's host list, which may lag behind the actual state.
 *
 * @param name host or target id
 * @param role {@code router} or {@code target}
 * @param address IP address and port
 * @param region region
 * @param failureDomain failure domain
 * @param leaving whether the host is about to be removed
 */
public record HostEntry(
        String name, String role, String address, Region region, FailureDomain failureDomain, boolean leaving) {
    public HostEntry {
        Arguments.requireText(name, "name");
        Arguments.requireText(role, "role");
        Arguments.requireText(address, "address");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
