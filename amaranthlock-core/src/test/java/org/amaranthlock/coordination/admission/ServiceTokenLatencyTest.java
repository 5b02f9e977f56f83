package org.amaranthlock.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ServiceTokenLatencyTest {
    private final ServiceTokenLatency latency = new ServiceTokenLatency();

    /** Guards against refusing requests because failed ones without tokens count as very slow. */
    @Test
    void requestWithoutTokensDoesNotChangeTheLatency() {
        latency.recordCompletion(100, 5_000);
        double before = latency.millisPerToken();

        latency.recordCompletion(0, 2_300);

        assertThat(latency.millisPerToken()).isEqualTo(before);
    }

    /** Guards against one short response after a long wait that outweighs many long responses. */
    @Test
    void requestsAreWeightedByTheirTokens() {
        for (int i = 0; i < 100; i++) {
            latency.recordCompletion(300, 300 * 40);
        }

        latency.recordCompletion(1, 2_000);

        assertThat(latency.millisPerToken()).isLessThan(41);
    }
}
