package org.amaranthlock.coordination.routing;

import static com.google.common.truth.Truth.assertThat;

import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.RequestId;
import org.junit.jupiter.api.Test;

class TargetLoadTest {
    private final TargetLoad load = new TargetLoad();

    /** Guards against counting local attempts twice when a delayed report already includes them. */
    @Test
    void lateReportAddsOnlyAttemptsOfOtherRouters() {
        load.addAttempt(attempt(1), 1_000);
        load.addAttempt(attempt(2), 1_100);

        load.updateReport(5, 2_000, 3_200);

        assertThat(load.estimatedAttempts(3_200)).isEqualTo(2 + 3);
    }

    /** Guards against omitting attempts that were started after the time of a delayed report. */
    @Test
    void attemptsStartedAfterTheReportedTimeAreAdded() {
        load.addAttempt(attempt(1), 1_000);
        load.addAttempt(attempt(2), 2_500);

        load.updateReport(4, 2_000, 3_000);

        assertThat(load.estimatedAttempts(3_000)).isEqualTo(2 + 3);
    }

    /** Guards against avoiding a target indefinitely because its reports stopped. */
    @Test
    void expiredReportIsIgnored() {
        load.updateReport(8, 0, 1_000);

        assertThat(load.estimatedAttempts(1_000)).isEqualTo(8);
        assertThat(load.estimatedAttempts(11_001)).isEqualTo(0);
    }

    private static AttemptId attempt(int number) {
        return new AttemptId(new RequestId("00-r" + number), 1);
    }
}
