package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * Limits the retries of one host to a service so that all hosts together stay within the budget of the fleet, without a
 * remote call for each retry.
 *
 * <p>When a service fails, every request is retried, and unlimited retries would double the load of the service just
 * then. Each host gets an equal share of the slack, based on the number of hosts that it knows. When a failure domain
 * fails, some hosts have more streams to resume than their share allows while the fleet has used little of its budget.
 * A host may therefore exceed its share while all hosts together are known to have sent few retries. Not thread-safe.
 */
public final class FleetRetryBudget {
    /**
     * Fraction of {@link RetryBudgetLimits#retriesPerRequest} that a request adds to the balance. Requests are counted
     * per window and windows slide, so that the retry may fall into a window in which its request is no longer counted.
     */
    private static final double REQUEST_FRACTION = 0.6;

    /** Fraction of the slack that is refilled per window; the same amount may be left over from before. */
    private static final double SLACK_REFILL_FRACTION = 0.3;

    /**
     * Fraction of the slack below which the retries of all hosts must be for a host to exceed its share; the counts of
     * other hosts are some milliseconds old.
     */
    private static final double SHARED_SLACK_FRACTION = 0.5;

    /** Retries that each host may accumulate, whatever the number of hosts. */
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
     * @param limits budget of the fleet
     * @param usage retries sent by this host and by others
     * @param hostCount supplies the number of hosts that share the budget of the fleet, at least one
     */
    public FleetRetryBudget(RetryBudgetLimits limits, RetryUsage usage, IntSupplier hostCount) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.usage = Objects.requireNonNull(usage, "usage");
        this.hostCount = Objects.requireNonNull(hostCount, "host count");
    }

    /** Counts the first attempt of a request. */
    public void recordRequest() {
        deposit(REQUEST_FRACTION * limits.retriesPerRequest());
    }

    /** Acquires one retry from the budget and returns whether one was available. */
    public boolean tryAcquire(long nowMillis) {
        if (!initialized) {
            initialized = true;
            balance = capacity();
        }
        double share = SLACK_REFILL_FRACTION * limits.slack() / hostCount.getAsInt();
        deposit(share * Math.max(0, nowMillis - refilledAtMillis) / limits.windowMillis());
        refilledAtMillis = nowMillis;
        boolean sharedSlackLeft = usage.totalRetries(nowMillis) < SHARED_SLACK_FRACTION * limits.slack();
        if (balance < 1 && !sharedSlackLeft) {
            return false;
        }
        balance = Math.max(0, balance - 1);
        usage.recordRetry(nowMillis);
        return true;
    }

    /** Releases a retry that did not reach its target. */
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
