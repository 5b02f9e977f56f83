package org.amaranthlock.bench.capacity;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a fleet that loses messages or whose counts depend on anything but the seeds. */
class RouterFleetTest {
    private static final FleetSize SMALL_FLEET = new FleetSize(5, 12, 4, 10, 5, 1);

    @Test
    void routersFindEachOtherAndHoldTheSameConfiguration() {
        RouterFleet fleet = new RouterFleet(SMALL_FLEET);
        fleet.setLoadEnabled(true);
        fleet.advance(10_000);
        fleet.setLoadEnabled(false);
        fleet.advance(5_000);

        for (MeteredRouter router : fleet.routers()) {
            var core = router.core().orElseThrow();
            assertThat(core.membership().liveMembers()).hasSize(5);
            assertThat(core.configuration().revision())
                    .isEqualTo(fleet.routers()
                            .getFirst()
                            .core()
                            .orElseThrow()
                            .configuration()
                            .revision());
        }
        // One change per second for 10 s; rounding may leave out the last one.
        assertThat(fleet.requestedChanges()).isAtLeast(9);
        assertThat(fleet.failedChanges()).isEqualTo(0);
    }

    @Test
    void countsAreTheSameOnEveryRun() {
        RouterCostMetrics first = metricsAfterTwentySeconds();
        RouterCostMetrics second = metricsAfterTwentySeconds();

        assertThat(first.data().count()).isGreaterThan(0);
        assertThat(second.control().count()).isEqualTo(first.control().count());
        assertThat(second.control().sum()).isEqualTo(first.control().sum());
        assertThat(second.data().sum()).isEqualTo(first.data().sum());
    }

    private static RouterCostMetrics metricsAfterTwentySeconds() {
        RouterFleet fleet = new RouterFleet(SMALL_FLEET);
        fleet.setLoadEnabled(true);
        fleet.advance(20_000);
        return fleet.drainMetrics();
    }
}
