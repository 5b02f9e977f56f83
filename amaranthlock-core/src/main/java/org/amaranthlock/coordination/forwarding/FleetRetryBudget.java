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
    private static final double REQUEST_FRACTION = 0.6;

    /** Part of the slack that comes back over a window; as much may be saved up before. */
    private static final double SLACK_REFILL_FRACTION = 0.3;

    /** Part of the slack up to which hosts go beyond their own parts; news of the others are some milliseconds old. */
    private static final double SHARED_SLACK_FRACTION = 0.5;

    /** Repeats that each host may save up however many hosts there are. */
    private static final double MIN_CAPACITY = 1;

    private final RetryBudgetLimits limits;
    private final RetryUsage usage;
    private final IntSupplier hostCount;
    private double balance;
    private boolean initialized;
    private long refilledAtMillis;

    /**
     * Creates a full budget.
     *
     * @param usage what this host and others have sent
     * @param hostCount tells how many hosts share the fleet's budget, at least one
     */
    public FleetRetryBudget(RetryBudgetLimits limits, RetryUsage usage, IntSupplier hostCount) {
        this.limits = Objects.requireNonNull(limits, "fleet budget");
        this.usage = Objects.requireNonNull(usage, "use");
        this.hostCount = Objects.requireNonNull(hostCount, "hosts");
    }

    /** Counts the first send of a request. */
    public void recordRequest() {
        deposit(REQUEST_FRACTION * limits.retriesPerRequest());
    }

    /** Takes one repeat out of the budget; returns false if none is left. */
    public boolean tryAcquire(long nowMillis) {
        if (!initialized) {
            initialized = true;
            balance = capacity();
        }
        double share = SLACK_REFILL_FRACTION * limits.slack() / hostCount.getAsInt();
        deposit(share * Math.max(0, nowMillis - refilledAtMillis) / limits.windowMillis());
        refilledAtMillis = nowMillis;
        boolean sharedSlackLeft = usage.totalCount(nowMillis) < SHARED_SLACK_FRACTION * limits.slack();
        if (balance < 1 && !sharedSlackLeft) {
            return false;
        }
        balance = Math.max(0, balance - 1);
        usage.recordRetry(nowMillis);
        return true;
    }

    /** Gives back a repeat that did not reach its target. */
    public void release() {
        deposit(1);
        usage.undoLastRetry();
    }

    private void deposit(double retries) {
        balance = Math.min(capacity(), balance + retries);
    }

    private double capacity() {
        return MIN_CAPACITY + SLACK_REFILL_FRACTION * limits.slack() / hostCount.getAsInt();
    }
}
