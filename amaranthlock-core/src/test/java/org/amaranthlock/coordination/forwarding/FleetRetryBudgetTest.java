package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FleetRetryBudgetTest {
    /** Time in which a retry fails and the other hosts learn of it, in milliseconds. */
    private static final long REPORT_DELAY_MILLIS = 20;

    private static final RetryBudgetLimits LIMITS = new RetryBudgetLimits(0.8, 150, 10_000);

    // Every request fails and is retried as often as the budget allows. Guards against a number of retries per window
    // that grows with the number of hosts.
    @Test
    void allHostsTogetherStayWithinFleetBudget() {
        for (int hosts : new int[] {1, 7, 9, 74, 90}) {
            double requestsPerSecond = 0.38 * hosts;
            int hostCount = hosts;
            List<FleetRetryBudget> budgets = new ArrayList<>();
            List<RetryUsage> usages = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                RetryUsage usage = new RetryUsage(LIMITS.windowMillis());
                usages.add(usage);
                budgets.add(new FleetRetryBudget(LIMITS, usage, () -> hostCount));
            }
            double requests = 0;
            int retries = 0;
            for (long now = 0; now < LIMITS.windowMillis(); now += REPORT_DELAY_MILLIS) {
                for (int host = 0; host < hosts; host++) {
                    requests += requestsPerSecond / hosts * REPORT_DELAY_MILLIS / 1_000;
                    if (requests >= 1) {
                        requests--;
                        budgets.get(host).recordRequest();
                    }
                    retries += budgets.get(host).tryAcquire(now) ? 1 : 0;
                }
                exchangeCounts(usages, now);
            }
            double allowed = LIMITS.retriesPerRequest() * requestsPerSecond * 10 + LIMITS.slack();
            assertWithMessage("retries of %s hosts", hosts)
                    .that((double) retries)
                    .isAtMost(allowed);
        }
    }

    // A failure domain fails and one host of many has most of its streams. Guards against streams that wait seconds
    // for the next retry while the fleet has sent hardly any.
    @Test
    void hostExceedsItsShareWhileFleetUsageIsLow() {
        RetryUsage usage = new RetryUsage(LIMITS.windowMillis());
        FleetRetryBudget budget = new FleetRetryBudget(LIMITS, usage, () -> 74);
        for (int i = 0; i < 10; i++) {
            assertThat(budget.tryAcquire(i)).isTrue();
        }
        usage.updateRemote("host-2", 120, 10);
        assertThat(budget.tryAcquire(11)).isFalse();
    }

    // Guards against failed connections that exhaust the shared budget although they reached no target.
    @Test
    void retryThatReachedNoTargetIsNotReported() {
        RetryUsage usage = new RetryUsage(LIMITS.windowMillis());
        FleetRetryBudget budget = new FleetRetryBudget(LIMITS, usage, () -> 74);
        for (int i = 0; i < 200; i++) {
            assertThat(budget.tryAcquire(i)).isTrue();
            budget.release();
        }
        assertThat(usage.localRetries(200)).isEqualTo(0);
    }

    private static void exchangeCounts(List<RetryUsage> usages, long now) {
        for (int from = 0; from < usages.size(); from++) {
            for (RetryUsage to : usages) {
                if (to != usages.get(from)) {
                    to.updateRemote("host-" + from, usages.get(from).localRetries(now), now);
                }
            }
        }
    }

    // A host's share of the slack is a fraction of a retry here.
    @Test
    void hostOfLargeFleetMayRetryImmediately() {
        FleetRetryBudget budget = new FleetRetryBudget(LIMITS, new RetryUsage(LIMITS.windowMillis()), () -> 330);
        assertThat(budget.tryAcquire(0)).isTrue();
    }
}
