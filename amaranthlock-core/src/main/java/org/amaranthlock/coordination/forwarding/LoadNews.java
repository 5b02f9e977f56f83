package org.amaranthlock.coordination.forwarding;

import java.util.Map;
import java.util.Set;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.TargetId;

/**
 * What one host knows of engines at first hand, told to the other hosts.
 *
 * @param host name of the host
 * @param inFlight its requests in flight by engine; engines without any are left out
 * @param unreachable engines that it could not reach a short time ago
 */
public record LoadNews(String host, Map<TargetId, Integer> inFlight, Set<TargetId> unreachable) {
    public LoadNews {
        Arguments.requireText(host, "host");
        inFlight = Map.copyOf(inFlight);
        unreachable = Set.copyOf(unreachable);
    }
}
