package org.amaranthlock.coordination.request;

import java.util.Arrays;

/** Averages the time per token over the last deliveries of a stream, without the slowest ones. */
final class RecentTokenLatency {
    /** Number of deliveries in the average; at a fivefold slowdown of usual engines they take about a second. */
    static final int SAMPLES = 5;

    /** Number of slowest samples left out: a prefill of another prompt on the target delays one or two tokens. */
    private static final int OMITTED_SAMPLES = 2;

    private final double[] samples = new double[SAMPLES];
    private int sampleCount;

    void add(double millisPerToken) {
        samples[sampleCount % SAMPLES] = millisPerToken;
        sampleCount++;
    }

    /** Returns the mean time per token, or 0 while there are too few samples. */
    double millisPerToken() {
        if (sampleCount < SAMPLES) {
            return 0;
        }
        double[] sorted = samples.clone();
        Arrays.sort(sorted);
        return Arrays.stream(sorted, 0, SAMPLES - OMITTED_SAMPLES).average().orElseThrow();
    }
}
