package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class CrashRecordsTest {
    private static final long REQUEST = 42;

    private final CrashRecords records = new CrashRecords();

    // Guards against a request that goes on to crash one target after the other, on one host or on several.
    @Test
    void aRequestIsCondemnedAfterThreeCrashesOverAllHosts() {
        records.crashed(REQUEST, 0);
        records.heard("entry-2", Map.of(REQUEST, 1));
        assertThat(records.condemned(REQUEST, 10)).isFalse();
        records.heard("entry-3", Map.of(REQUEST, 1));
        assertThat(records.condemned(REQUEST, 10)).isTrue();
        assertThat(records.condemned(REQUEST + 1, 10)).isFalse();
    }

    // Guards against counts that grow because hosts repeat their news.
    @Test
    void newsThatAreRepeatedCountOnce() {
        records.heard("entry-2", Map.of(REQUEST, 1));
        records.heard("entry-2", Map.of(REQUEST, 1));
        records.heard("entry-2", Map.of(REQUEST, 1));
        assertThat(records.condemned(REQUEST, 10)).isFalse();
    }

    @Test
    void aHostTellsOnlyWhatItSawItself() {
        records.crashed(REQUEST, 0);
        records.heard("entry-2", Map.of(7L, 2));
        assertThat(records.own(10)).containsExactly(REQUEST, 1);
    }

    @Test
    void aCrashIsForgottenAfterTwoMinutes() {
        records.crashed(REQUEST, 0);
        assertThat(records.own(120_001)).isEmpty();
    }
}
