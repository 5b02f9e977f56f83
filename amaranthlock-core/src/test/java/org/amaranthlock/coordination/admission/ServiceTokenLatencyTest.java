package org.amaranthlock.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ServiceTokenLatencyTest {
    private final ServiceTokenLatency rate = new ServiceTokenLatency();

    /** Guards against refusing work because failed requests without tokens look like very slow ones. */
    @Test
    void requestWithoutTokensDoesNotChangeTheSpeed() {
        rate.recordCompletion(100, 5_000);
        double before = rate.millisPerToken();

        rate.recordCompletion(0, 2_300);

        assertThat(rate.millisPerToken()).isEqualTo(before);
    }

    /** Guards against one short answer that waited long outweighing many long ones. */
    @Test
    void requestsCountByTheirTokens() {
        for (int i = 0; i < 100; i++) {
            rate.recordCompletion(300, 300 * 40);
        }

        rate.recordCompletion(1, 2_000);

        assertThat(rate.millisPerToken()).isLessThan(41);
    }
}
