package org.amaranthlock.bench.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a wrong fit, which would falsify every extrapolated value. */
class LinearFitTest {
    @Test
    void fitsKnownLineExactly() {
        LinearFit fit = LinearFit.fit(List.of(point(9), point(30), point(90), point(330)));

        assertThat(fit.slope()).isWithin(1e-12).of(2.5);
        assertThat(fit.intercept()).isWithin(1e-9).of(7);
        assertThat(fit.r2()).isWithin(1e-12).of(1);
        assertThat(fit.valueAt(1_000)).isWithin(1e-9).of(2_507);
    }

    private static LinearFit.Point point(double size) {
        return new LinearFit.Point(size, 7 + 2.5 * size);
    }
}
