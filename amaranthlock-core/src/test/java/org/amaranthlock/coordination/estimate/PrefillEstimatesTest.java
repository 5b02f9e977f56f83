package org.amaranthlock.coordination.estimate;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.amaranthlock.model.ServiceName;
import org.junit.jupiter.api.Test;

class PrefillEstimatesTest {
    private static final ServiceName SERVICE = new ServiceName("engines");

    private final PrefillEstimates estimates = new PrefillEstimates();

    @Test
    void givesNoEstimateFromFewWaits() {
        record(7, 1_000, 125);
        assertThat(estimates.minPrefillMillis(SERVICE, 8_000).isPresent()).isFalse();
    }

    @Test
    void estimatesFastestRecentWaitPerToken() {
        record(10, 1_000, 400);
        record(1, 2_000, 250);
        assertThat(estimates.minPrefillMillis(SERVICE, 8_000)).hasValue(1_000);
        assertThat(estimates.minPrefillMillis(new ServiceName("others"), 8_000).isPresent())
                .isFalse();
    }

    // Guards against an estimate that stays too low for ever after a slower engine model was deployed.
    @Test
    void forgetsOldWaits() {
        record(10, 1_000, 125);
        record(64, 1_000, 500);
        assertThat(estimates.minPrefillMillis(SERVICE, 8_000)).hasValue(4_000);
    }

    @Test
    void ignoresPromptsOfUnknownLength() {
        record(20, 0, 100);
        assertThat(estimates.minPrefillMillis(SERVICE, 8_000).isPresent()).isFalse();
    }

    private void record(int count, long tokens, long waitMillis) {
        IntStream.range(0, count).forEach(_ -> estimates.recordFirstEvent(SERVICE, tokens, waitMillis));
    }
}
