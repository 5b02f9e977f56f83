package org.amaranthlock.entry.settings;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthlock.coordination.forwarding.Mechanisms;
import org.amaranthlock.coordination.forwarding.RetryBudgetLimits;
import org.amaranthlock.coordination.rollout.ExposureBounds;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;

/**
 * Settings of one entry daemon.
 *
 * @param hostName name of the host, unique among the entry hosts, under which it registers and writes logs
 * @param failureDomain failure domain in which the host runs
 * @param clientAddress address for clients
 * @param readinessAddress address for the load balancer's readiness checks
 * @param metricsAddress address for metrics
 * @param peerAddress address for the other entry hosts
 * @param storeAddress address of the platform's store
 * @param bounds time limits and retry budget that the platform sets
 * @param mechanisms forwarding mechanisms that the host uses
 * @param regions regions of the failure domains and the links between them
 */
public record EntrySettings(
        String hostName,
        FailureDomain failureDomain,
        InetSocketAddress clientAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress storeAddress,
        Bounds bounds,
        Mechanisms mechanisms,
        Regions regions) {
    public EntrySettings {
        Objects.requireNonNull(mechanisms, "mechanisms");
        Objects.requireNonNull(failureDomain, "failure domain");
        Objects.requireNonNull(bounds, "bounds");
        Objects.requireNonNull(regions, "regions");
    }

    /**
     * Regions of the failure domains.
     *
     * @param byDomain region by failure domain; empty if the settings name none
     * @param linkMbps bandwidth of a link between two regions in each direction, in megabits per second; empty if it is
     *     to be learned
     */
    public record Regions(Map<FailureDomain, Region> byDomain, OptionalDouble linkMbps) {
        /** Copies the map. */
        public Regions {
            byDomain = Map.copyOf(byDomain);
            Objects.requireNonNull(linkMbps, "bandwidth");
        }
    }

    /**
     * Time limits and retry budget that the platform sets.
     *
     * @param maxConfigurationAgeMillis time within which a new configuration must take effect
     * @param maxRevocationMillis time after which a revoked API key must no longer be accepted
     * @param shutdownGraceMillis time between the termination signal and the forced kill
     * @param retryBudget retry budget that all hosts share
     * @param exposure what a bad version may cost; empty if the deployment orders no roll-outs
     */
    public record Bounds(
            long maxConfigurationAgeMillis,
            long maxRevocationMillis,
            long shutdownGraceMillis,
            RetryBudgetLimits retryBudget,
            Optional<ExposureBounds> exposure) {
        /** Checks that the retry budget and the exposure bounds are present. */
        public Bounds {
            Objects.requireNonNull(retryBudget, "retry budget");
            Objects.requireNonNull(exposure, "exposure bounds");
        }
    }
}
