package org.amaranthlock.bench.capacity;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a harness that loses messages or whose counts depend on anything but its seeds. */
class FleetTest {
    private static final FleetSize SMALL = new FleetSize(5, 12, 4, 10, 5, 1);

    @Test
    void routersFindEachOtherAndHoldTheSameConfiguration() {
        Fleet fleet = new Fleet(SMALL);
        fleet.load(true);
        fleet.advance(10_000);
        fleet.load(false);
        fleet.advance(5_000);

        for (FleetRouter router : fleet.routers()) {
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
        assertThat(fleet.changes()).isAtLeast(9);
        assertThat(fleet.changeErrors()).isEqualTo(0);
    }

    @Test
    void countsAreTheSameOnEveryRun() {
        Meter first = run();
        Meter second = run();

        assertThat(first.data().count()).isGreaterThan(0);
        assertThat(second.control().count()).isEqualTo(first.control().count());
        assertThat(second.control().sum()).isEqualTo(first.control().sum());
        assertThat(second.data().sum()).isEqualTo(first.data().sum());
    }

    private static Meter run() {
        Fleet fleet = new Fleet(SMALL);
        fleet.load(true);
        fleet.advance(20_000);
        return fleet.takeMeters();
    }
}
