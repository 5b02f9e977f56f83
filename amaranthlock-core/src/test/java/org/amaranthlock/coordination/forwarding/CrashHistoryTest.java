package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class CrashHistoryTest {
    private static final long REQUEST = 42;

    private final CrashHistory history = new CrashHistory();

    // Guards against a request that keeps crashing targets, forwarded by one host or by several.
    @Test
    void requestIsPoisonAfterThreeConsecutiveCrashesOnAnyHosts() {
        history.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        int known = history.consecutiveCrashes(REQUEST, 10);
        history.recordCrash(REQUEST, known, 20);
        assertThat(history.isPoison(REQUEST, 30)).isFalse();
        assertThat(history.localCrashes(30)).containsExactly(REQUEST, 2);
        history.updateRemote("entry-3", Map.of(REQUEST, 3), 5);
        assertThat(history.isPoison(REQUEST, 40)).isTrue();
        assertThat(history.isPoison(REQUEST + 1, 40)).isFalse();
    }

    // All targets of a service are killed while each executes an equal request. Guards against attributing simultaneous
    // crashes to a request that many clients send; the soak test found it rejected for two minutes.
    @Test
    void simultaneousCrashesCountAsOne() {
        for (int target = 0; target < 5; target++) {
            history.recordCrash(REQUEST, 0, 10);
        }
        history.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        history.updateRemote("entry-3", Map.of(REQUEST, 1), 5);
        assertThat(history.isPoison(REQUEST, 20)).isFalse();
    }

    @Test
    void responseClearsCrashHistory() {
        history.recordCrash(REQUEST, 2, 10);
        history.updateRemote("entry-2", Map.of(REQUEST, 3), 5);
        assertThat(history.isPoison(REQUEST, 20)).isTrue();
        history.recordResponse(REQUEST, 30);
        assertThat(history.isPoison(REQUEST, 40)).isFalse();
        assertThat(history.localCrashes(40)).isEmpty();
    }

    // Guards against counts that grow because hosts repeat their reports.
    @Test
    void repeatedReportsCountOnce() {
        history.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        history.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        history.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        assertThat(history.isPoison(REQUEST, 10)).isFalse();
    }

    @Test
    void reportsOnlyLocalCrashes() {
        history.recordCrash(REQUEST, 0, 0);
        history.updateRemote("entry-2", Map.of(7L, 2), 5);
        assertThat(history.localCrashes(10)).containsExactly(REQUEST, 1);
    }

    // Guards against rejecting a request forever because of the crash count of a host that no longer exists.
    @Test
    void remoteReportExpiresAfterTwoMinutes() {
        history.updateRemote("entry-2", Map.of(REQUEST, 3), 5);
        assertThat(history.isPoison(REQUEST, 10)).isTrue();
        assertThat(history.isPoison(REQUEST, 120_006)).isFalse();
    }

    @Test
    void localCrashExpiresAfterTwoMinutes() {
        history.recordCrash(REQUEST, 0, 0);
        assertThat(history.localCrashes(120_001)).isEmpty();
    }
}
