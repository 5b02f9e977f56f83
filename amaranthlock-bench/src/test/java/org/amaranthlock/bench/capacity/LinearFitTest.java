package org.amaranthlock.bench.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a wrong fit, which would make every extrapolated figure wrong. */
class LinearFitTest {
    @Test
    void fitsKnownLineExactly() {
        LinearFit slope = LinearFit.fit(List.of(point(9), point(30), point(90), point(330)));

        assertThat(slope.slope()).isWithin(1e-12).of(2.5);
        assertThat(slope.intercept()).isWithin(1e-9).of(7);
        assertThat(slope.r2()).isWithin(1e-12).of(1);
        assertThat(slope.valueAt(1_000)).isWithin(1e-9).of(2_507);
    }

    private static LinearFit.Point point(double size) {
        return new LinearFit.Point(size, 7 + 2.5 * size);
    }
}
