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
 * @param callers address for clients
 * @param ready address for the load balancer's checks
 * @param metrics address for metrics
 * @param peers address for the other entry hosts
 * @param store address of the platform's store
 * @param bounds times and shares that the platform sets
 */
public record EntrySettings(
        String hostName,
        FailureDomain failureDomain,
        InetSocketAddress callers,
        InetSocketAddress ready,
        InetSocketAddress metrics,
        InetSocketAddress peers,
        InetSocketAddress store,
        Bounds bounds) {
    public EntrySettings {
        Objects.requireNonNull(failureDomain, "failure domain");
        Objects.requireNonNull(bounds, "bounds");
    }

    /**
     * Times and shares that the platform sets.
     *
     * @param configurationMillis within which a configuration must be in force
     * @param revocationMillis within which a key that was taken away must not work any more
     * @param graceMillis between the signal to end and the kill
     * @param repeats budget of repeats that all hosts share
     */
    public record Bounds(long configurationMillis, long revocationMillis, long graceMillis, RetryBudgetLimits repeats) {
        /** Checks that the budget is there. */
        public Bounds {
            Objects.requireNonNull(repeats, "repeats");
        }
    }
}
