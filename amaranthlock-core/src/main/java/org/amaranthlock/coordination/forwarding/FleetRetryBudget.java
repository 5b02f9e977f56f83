package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * Limits the repeats that one host sends to a service, so that the hosts together stay within the fleet's budget without
 * a call for each repeat.
 *
 * <p>Load pattern: a failing service makes every request repeat; unlimited repeats would double its load just then. Each
 * host takes its part of the slack by the number of hosts that it knows of. When a failure domain dies, some hosts have
 * more streams to resume than their part while the fleet has hardly used any, so beyond its part a host may repeat while
 * all hosts together are known to have sent few. Not thread-safe.
 */
public final class FleetRetryBudget {
    /** Part of what a request earns that is used; requests are counted by window, and windows slide. */
    private static final double REQUEST_PART = 0.6;

    /** Part of the slack that comes back over a window; as much may be saved up before. */
    private static final double SLACK_PART = 0.3;

    /** Part of the slack up to which hosts go beyond their own parts; news of the others are some milliseconds old. */
    private static final double COMMON_PART = 0.5;

    /** Repeats that each host may save up however many hosts there are. */
    private static final double LEAST_SAVED = 1;

    private final RetryBudgetLimits fleet;
    private final RetryUsage use;
    private final IntSupplier hosts;
    private double saved;
    private boolean opened;
    private long refilledAtMillis;

    /**
     * Creates a full budget.
     *
     * @param use what this host and others have sent
     * @param hosts tells how many hosts share the fleet's budget, at least one
     */
    public FleetRetryBudget(RetryBudgetLimits fleet, RetryUsage use, IntSupplier hosts) {
        this.fleet = Objects.requireNonNull(fleet, "fleet budget");
        this.use = Objects.requireNonNull(use, "use");
        this.hosts = Objects.requireNonNull(hosts, "hosts");
    }

    /** Counts the first send of a request. */
    public void recordRequest() {
        save(REQUEST_PART * fleet.perRequest());
    }

    /** Takes one repeat out of the budget; returns false if none is left. */
    public boolean tryAcquire(long nowMillis) {
        if (!opened) {
            opened = true;
            saved = mostSaved();
        }
        double share = SLACK_PART * fleet.slack() / hosts.getAsInt();
        save(share * Math.max(0, nowMillis - refilledAtMillis) / fleet.windowMillis());
        refilledAtMillis = nowMillis;
        boolean common = use.totalCount(nowMillis) < COMMON_PART * fleet.slack();
        if (saved < 1 && !common) {
            return false;
        }
        saved = Math.max(0, saved - 1);
        use.recordRetry(nowMillis);
        return true;
    }

    /** Gives back a repeat that did not reach its target. */
    public void release() {
        save(1);
        use.undoLastRetry();
    }

    private void save(double repeats) {
        saved = Math.min(mostSaved(), saved + repeats);
    }

    private double mostSaved() {
        return LEAST_SAVED + SLACK_PART * fleet.slack() / hosts.getAsInt();
    }
}
