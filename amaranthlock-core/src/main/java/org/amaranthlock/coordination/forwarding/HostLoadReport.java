package org.amaranthlock.coordination.forwarding;

import java.util.Map;
import java.util.Set;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.TargetId;

/**
 * What one host knows of targets at first hand, told to the other hosts.
 *
 * @param host name of the host
 * @param inFlight its requests in flight by engine; engines without any are left out
 * @param unreachable engines that it could not reach a short time ago
 * @param crashes targets that crashed when they began to run a request, by the fingerprint of the request
 * @param retries requests that it sent again within the window of the fleet's budget
 */
public record HostLoadReport(
        String host,
        Map<TargetId, InFlightLoad> inFlight,
        Set<TargetId> unreachable,
        Map<Long, Integer> crashes,
        int retries) {
    public HostLoadReport {
        Arguments.requireText(host, "host");
        inFlight = Map.copyOf(inFlight);
        unreachable = Set.copyOf(unreachable);
        crashes = Map.copyOf(crashes);
    }
}
