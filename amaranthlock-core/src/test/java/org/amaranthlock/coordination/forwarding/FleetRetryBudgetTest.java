package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FleetRetryBudgetTest {
    /** Time in which a repeat fails and the news of it reach the other hosts, milliseconds. */
    private static final long NEWS_MILLIS = 20;

    private static final RetryBudgetLimits FLEET = new RetryBudgetLimits(0.8, 150, 10_000);

    // Load pattern: every request fails and is repeated as often as the budget allows. Guards against a fleet that
    // sends
    // more repeats in a window the more hosts it has.
    @Test
    void allHostsTogetherStayWithinTheFleetsBudgetWhateverTheirNumber() {
        for (int hosts : new int[] {1, 7, 9, 74, 90}) {
            double requestsPerSecond = 0.38 * hosts;
            int count = hosts;
            List<FleetRetryBudget> budgets = new ArrayList<>();
            List<RetryUsage> uses = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                RetryUsage use = new RetryUsage(FLEET.windowMillis());
                uses.add(use);
                budgets.add(new FleetRetryBudget(FLEET, use, () -> count));
            }
            double requests = 0;
            int repeats = 0;
            for (long now = 0; now < FLEET.windowMillis(); now += NEWS_MILLIS) {
                for (int host = 0; host < hosts; host++) {
                    requests += requestsPerSecond / hosts * NEWS_MILLIS / 1_000;
                    if (requests >= 1) {
                        requests--;
                        budgets.get(host).recordRequest();
                    }
                    repeats += budgets.get(host).tryAcquire(now) ? 1 : 0;
                }
                tell(uses, now);
            }
            double allowed = FLEET.perRequest() * requestsPerSecond * 10 + FLEET.slack();
            assertWithMessage("repeats of %s hosts", hosts)
                    .that((double) repeats)
                    .isAtMost(allowed);
        }
    }

    // Load pattern: a failure domain dies and one host of many has most of the streams. Guards against streams that
    // wait
    // seconds for the next repeat while the fleet has sent hardly any.
    @Test
    void aHostGoesBeyondItsPartWhileTheFleetHasSentFew() {
        RetryUsage use = new RetryUsage(FLEET.windowMillis());
        FleetRetryBudget budget = new FleetRetryBudget(FLEET, use, () -> 74);
        for (int i = 0; i < 10; i++) {
            assertThat(budget.tryAcquire(i)).isTrue();
        }
        use.updateRemote("host-2", 120, 10);
        assertThat(budget.tryAcquire(11)).isFalse();
    }

    // Guards against connections that fail and use up what all hosts share, though no target got anything.
    @Test
    void retryThatReachedNoTargetIsNotReported() {
        RetryUsage use = new RetryUsage(FLEET.windowMillis());
        FleetRetryBudget budget = new FleetRetryBudget(FLEET, use, () -> 74);
        for (int i = 0; i < 200; i++) {
            assertThat(budget.tryAcquire(i)).isTrue();
            budget.release();
        }
        assertThat(use.localRetries(200)).isEqualTo(0);
    }

    private static void tell(List<RetryUsage> uses, long now) {
        for (int from = 0; from < uses.size(); from++) {
            for (RetryUsage to : uses) {
                if (to != uses.get(from)) {
                    to.updateRemote("host-" + from, uses.get(from).localRetries(now), now);
                }
            }
        }
    }

    @Test
    void singleHostMayRetryAtOnce() {
        FleetRetryBudget budget = new FleetRetryBudget(FLEET, new RetryUsage(FLEET.windowMillis()), () -> 330);
        assertThat(budget.tryAcquire(0)).isTrue();
    }
}
