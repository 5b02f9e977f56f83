package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class CrashHistoryTest {
    private static final long REQUEST = 42;

    private final CrashHistory records = new CrashHistory();

    // Guards against a request that goes on to crash one target after the other, on one host or on several.
    @Test
    void requestIsPoisonAfterThreeConsecutiveCrashesOnAnyHosts() {
        records.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        int known = records.consecutiveCrashes(REQUEST, 10);
        records.recordCrash(REQUEST, known, 20);
        assertThat(records.isPoison(REQUEST, 30)).isFalse();
        assertThat(records.localCrashes(30)).containsExactly(REQUEST, 2);
        records.updateRemote("entry-3", Map.of(REQUEST, 3), 5);
        assertThat(records.isPoison(REQUEST, 40)).isTrue();
        assertThat(records.isPoison(REQUEST + 1, 40)).isFalse();
    }

    // Found by the soak: all desks were killed while the same lookup was in flight at each, and it was refused for two
    // minutes. Guards against targets that die at once and are all put down to a request that many clients send.
    @Test
    void targetsThatDieAtOnceCountAsOneCrash() {
        for (int target = 0; target < 5; target++) {
            records.recordCrash(REQUEST, 0, 10);
        }
        records.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        records.updateRemote("entry-3", Map.of(REQUEST, 1), 5);
        assertThat(records.isPoison(REQUEST, 20)).isFalse();
    }

    @Test
    void anAnswerShowsThatARequestDoesNotCrashTargets() {
        records.recordCrash(REQUEST, 2, 10);
        records.updateRemote("entry-2", Map.of(REQUEST, 3), 5);
        assertThat(records.isPoison(REQUEST, 20)).isTrue();
        records.answered(REQUEST, 30);
        assertThat(records.isPoison(REQUEST, 40)).isFalse();
        assertThat(records.localCrashes(40)).isEmpty();
    }

    // Guards against counts that grow because hosts repeat their news.
    @Test
    void repeatedReportsCountOnce() {
        records.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        records.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        records.updateRemote("entry-2", Map.of(REQUEST, 1), 5);
        assertThat(records.isPoison(REQUEST, 10)).isFalse();
    }

    @Test
    void reportsOnlyLocalCrashes() {
        records.recordCrash(REQUEST, 0, 0);
        records.updateRemote("entry-2", Map.of(7L, 2), 5);
        assertThat(records.localCrashes(10)).containsExactly(REQUEST, 1);
    }

    // Guards against a request that is refused for ever because a host that is gone had counted it.
    @Test
    void remoteReportExpiresAfterTwoMinutes() {
        records.updateRemote("entry-2", Map.of(REQUEST, 3), 5);
        assertThat(records.isPoison(REQUEST, 10)).isTrue();
        assertThat(records.isPoison(REQUEST, 120_006)).isFalse();
    }

    @Test
    void aCrashIsForgottenAfterTwoMinutes() {
        records.recordCrash(REQUEST, 0, 0);
        assertThat(records.localCrashes(120_001)).isEmpty();
    }
}
