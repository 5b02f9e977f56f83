package org.amaranthlock.entry.settings;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.amaranthlock.coordination.forwarding.RetryBudgetLimits;
import org.amaranthlock.model.FailureDomain;

/**
 * Settings of one entry daemon.
 *
 * @param hostName name of the host, for logs
 * @param failureDomain where the host runs
 * @param clientAddress address for clients
 * @param readinessAddress address for the load balancer's checks
 * @param metricsAddress address for metrics
 * @param peerAddress address for the other entry hosts
 * @param storeAddress address of the platform's store
 * @param bounds times and shares that the platform sets
 */
public record EntrySettings(
        String hostName,
        FailureDomain failureDomain,
        InetSocketAddress clientAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress storeAddress,
        Bounds bounds) {
    public EntrySettings {
        Objects.requireNonNull(failureDomain, "failure domain");
        Objects.requireNonNull(bounds, "bounds");
    }

    /**
     * Times and shares that the platform sets.
     *
     * @param maxConfigurationAgeMillis within which a configuration must be in force
     * @param maxRevocationMillis within which a key that was taken away must not work any more
     * @param shutdownGraceMillis between the signal to end and the kill
     * @param retryBudget budget of repeats that all hosts share
     */
    public record Bounds(
            long maxConfigurationAgeMillis,
            long maxRevocationMillis,
            long shutdownGraceMillis,
            RetryBudgetLimits retryBudget) {
        /** Checks that the budget is there. */
        public Bounds {
            Objects.requireNonNull(retryBudget, "repeats");
        }
    }
}
