package org.amaranthlock.coordination.request;

import java.util.Arrays;

/** Time per token of the last deliveries of a stream, without the longest ones. */
final class RecentTokenLatency {
    /** Deliveries that are judged; at a fivefold slowdown of usual engines they take about a second. */
    static final int SAMPLES = 5;

    /** Longest gaps that are left out: a prompt that the target reads in between delays a token or two. */
    private static final int OMITTED_SAMPLES = 2;

    private final double[] samples = new double[SAMPLES];
    private int sampleCount;

    void add(double millisPerToken) {
        samples[sampleCount % SAMPLES] = millisPerToken;
        sampleCount++;
    }

    /** Returns the mean time per token, or 0 while too few deliveries were seen. */
    double millisPerToken() {
        if (sampleCount < SAMPLES) {
            return 0;
        }
        double[] sorted = samples.clone();
        Arrays.sort(sorted);
        return Arrays.stream(sorted, 0, SAMPLES - OMITTED_SAMPLES).average().orElseThrow();
    }
}
