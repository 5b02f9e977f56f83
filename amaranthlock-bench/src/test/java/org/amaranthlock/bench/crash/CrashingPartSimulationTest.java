package org.amaranthlock.bench.crash;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

class CrashingPartSimulationTest {
    private static final int[] FLEET_SIZES = {3, 9, 90};
    private static final double[] CRASHING_FRACTIONS = {0.02, 0.25, 0.6};

    /** Requests with the part that may be sent after the fifth crash is known everywhere. */
    private static final int ALLOWED_AFTER_FIFTH = 3;

    private static final double REQUESTS_PER_HOST_AND_SECOND = 0.4;

    // Guards against requests with a crashing part that go on reaching engines, whatever the size of the fleet, the
    // share
    // of such requests and the reports that are lost.
    @Test
    void hardlyAnyRequestWithCrashingPartIsSentAfterFifthCrash() {
        for (int hosts : FLEET_SIZES) {
            for (double fraction : CRASHING_FRACTIONS) {
                for (long seed = 1; seed <= 3; seed++) {
                    assertStopped(CrashScenario.calm(hosts, rate(hosts), fraction), seed);
                    assertStopped(CrashScenario.faulty(hosts, rate(hosts), fraction), seed);
                }
            }
        }
    }

    // Guards against shutting out sound requests, which share a part with the crashing ones or were at the same
    // engines.
    @Test
    void soundRequestsAreNotRejected() {
        for (int hosts : FLEET_SIZES) {
            for (long seed = 1; seed <= 3; seed++) {
                CrashScenario scenario = CrashScenario.faulty(hosts, rate(hosts), 0.25);
                CrashResult result = new CrashingPartSimulation(scenario, seed).run();
                assertWithMessage("%s, seed %s", scenario, seed)
                        .that(result.soundRejected())
                        .isEqualTo(0);
            }
        }
    }

    // Guards against engines that crash for other reasons and make sound requests wait.
    @Test
    void otherCrashesHardlyDelaySoundRequests() {
        CrashScenario scenario = CrashScenario.faulty(9, 40, 0);
        CrashResult result = new CrashingPartSimulation(scenario, 1).run();
        assertWithMessage("mean delay").that(result.soundDelayMillis()).isLessThan(50.0);
        assertWithMessage("rejected").that(result.soundRejected()).isEqualTo(0);
    }

    private static double rate(int hosts) {
        return hosts * REQUESTS_PER_HOST_AND_SECOND + 2;
    }

    private static void assertStopped(CrashScenario scenario, long seed) {
        CrashResult result = new CrashingPartSimulation(scenario, seed).run();
        assertWithMessage("%s, seed %s: %s", scenario, seed, result)
                .that(result.sentAfterFifth())
                .isAtMost(ALLOWED_AFTER_FIFTH);
    }
}
