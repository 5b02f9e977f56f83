package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * Limits the retries of one host to a service so that all hosts together stay within the budget of the fleet, without a
 * remote call for each retry.
 *
 * <p>When a service fails, every request is retried, and unlimited retries would double the load of the service just
 * then. A host may send the retries that its own requests allow, whatever the others do. Beyond them, each host gets an
 * equal share of the slack, based on the number of hosts that it knows. When a failure domain fails, some hosts have
 * more streams to resume than their share allows while the fleet has used little of its slack. A host may therefore
 * exceed its share while all hosts together are known to have used little of it. What requests allow is not counted as
 * use of the slack, so that constantly failing lookups do not delay the streams of another service. Not thread-safe.
 */
public final class FleetRetryBudget {
    /**
     * Fraction of {@link RetryBudgetLimits#retriesPerRequest} that a request allows its host. Half, because unused
     * retries are kept for a window: within a window, a host can use those of its own requests and those left by the
     * requests of the previous window.
     */
    private static final double REQUEST_FRACTION = 0.5;

    /** Fraction of the slack that is refilled per window; the same amount may be left over from before. */
    private static final double SLACK_REFILL_FRACTION = 0.05;

    /** Fraction of the slack that remains for exceeding the shares, if all of these are used twice within a window. */
    private static final double SHARED_SLACK_FRACTION = 1 - 2 * SLACK_REFILL_FRACTION;

    /** Fraction of the slack that a host may use beyond its share in a fleet of any size. */
    private static final double MIN_SHARED_SLACK_FRACTION = 0.2;

    private final RetryBudgetLimits limits;
    private final RetryUsage usage;
    private final IntSupplier hostCount;
    private final EarnedRetries earned;

    /** This host's share of the slack that is not used yet. */
    private double share;

    private boolean initialized;
    private long refilledAtMillis;

    /** Whether the last retry used the slack. */
    private boolean slackUsed;

    /**
     * Creates a full budget.
     *
     * @param limits budget of the fleet
     * @param usage use of the slack by this host and by others
     * @param hostCount supplies the number of hosts that share the budget of the fleet, at least one
     */
    public FleetRetryBudget(RetryBudgetLimits limits, RetryUsage usage, IntSupplier hostCount) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.usage = Objects.requireNonNull(usage, "usage");
        this.hostCount = Objects.requireNonNull(hostCount, "host count");
        this.earned = new EarnedRetries(limits.windowMillis());
    }

    /** Counts the first attempt of a request. */
    public void recordRequest(long nowMillis) {
        earned.add(REQUEST_FRACTION * limits.retriesPerRequest(), nowMillis);
    }

    /** Acquires one retry from the budget and returns whether one was available. */
    public boolean tryAcquire(long nowMillis) {
        refillShare(nowMillis);
        double available = earned.available(nowMillis);
        if (available >= 1) {
            earned.take(1);
            slackUsed = false;
            return true;
        }
        double fromSlack = 1 - available;
        if (share < fromSlack && usage.totalRetries(nowMillis) >= maxSharedUsage()) {
            return false;
        }
        earned.take(available);
        share = Math.max(0, share - fromSlack);
        slackUsed = true;
        usage.recordRetry(nowMillis);
        return true;
    }

    /** Releases a retry that did not reach its target. */
    public void release(long nowMillis) {
        if (slackUsed) {
            share = Math.min(maxShare(), share + 1);
            usage.undoLastRetry();
        } else {
            earned.add(1, nowMillis);
        }
    }

    /**
     * Returns the use of the slack by all hosts up to which a host may exceed its share. Each host may do so once more
     * before it receives the reports of the others.
     */
    private double maxSharedUsage() {
        return Math.max(
                MIN_SHARED_SLACK_FRACTION * limits.slack(),
                SHARED_SLACK_FRACTION * limits.slack() - hostCount.getAsInt());
    }

    private void refillShare(long nowMillis) {
        if (!initialized) {
            initialized = true;
            share = maxShare();
        } else {
            long elapsedMillis = Math.max(0, nowMillis - refilledAtMillis);
            share = Math.min(maxShare(), share + maxShare() * elapsedMillis / limits.windowMillis());
        }
        refilledAtMillis = nowMillis;
    }

    private double maxShare() {
        return SLACK_REFILL_FRACTION * limits.slack() / hostCount.getAsInt();
    }
}
