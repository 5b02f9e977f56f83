package org.amaranthlock.coordination.forwarding;

import java.util.Map;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.TargetId;

/**
 * What one host has in flight at engines, told to the other hosts.
 *
 * @param host name of the host
 * @param inFlight requests in flight by engine; engines without any are left out
 */
public record LoadNews(String host, Map<TargetId, Integer> inFlight) {
    public LoadNews {
        Arguments.requireText(host, "host");
        inFlight = Map.copyOf(inFlight);
    }
}
