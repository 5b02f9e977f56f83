package org.amaranthlock.coordination.rollout;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;

/**
 * Outcomes that a host has observed at both versions of a service since it received an order. Counts are cumulative, so
 * that lost, late and repeated messages do no harm.
 *
 * @param host name of the host
 * @param incarnation number that differs between starts of the host
 * @param service service of the order
 * @param orderId order to which the counts belong
 * @param step step that the host applies now
 * @param outcomes counts by route and version
 */
public record RolloutEvidence(
        String host,
        long incarnation,
        ServiceName service,
        String orderId,
        RolloutStep step,
        List<RouteOutcomes> outcomes) {
    public RolloutEvidence {
        Arguments.requireText(host, "host");
        Objects.requireNonNull(service, "service");
        Arguments.requireText(orderId, "order id");
        Objects.requireNonNull(step, "step");
        outcomes = List.copyOf(outcomes);
    }
}
