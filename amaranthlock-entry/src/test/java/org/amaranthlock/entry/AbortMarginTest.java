package org.amaranthlock.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a host that stops aborts its requests. Guards against slow hosts that are killed before they have ended. */
class AbortMarginTest {
    private final AbortMargin margin = new AbortMargin();

    @Test
    void hostWithTimeToSpareServesUntilShortlyBeforeTheEnd() {
        margin.recordLateness(3);
        assertThat(margin.millis(8_000)).isEqualTo(700);
    }

    @Test
    void hostWhoseTimersRunLateBeginsEarlier() {
        margin.recordLateness(300);
        margin.recordLateness(20);
        assertThat(margin.millis(8_000)).isEqualTo(1_200);
    }

    @Test
    void clientsLoseASixthOfTheGracePeriodAtMost() {
        margin.recordLateness(5_000);
        assertThat(margin.millis(8_000)).isEqualTo(1_333);
    }
}
