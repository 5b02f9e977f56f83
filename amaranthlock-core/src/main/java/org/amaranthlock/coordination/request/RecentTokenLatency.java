package org.amaranthlock.coordination.request;

import java.util.Arrays;

/** Time per token of the last deliveries of a stream, without the longest ones. */
final class RecentTokenLatency {
    /** Deliveries that are judged; at a fivefold slowdown of usual engines they take about a second. */
    static final int SAMPLES = 5;

    /** Longest gaps that are left out: a prompt that the target reads in between delays a token or two. */
    private static final int OMITTED = 2;

    private final double[] gaps = new double[SAMPLES];
    private int added;

    void add(double millisPerToken) {
        gaps[added % SAMPLES] = millisPerToken;
        added++;
    }

    /** Returns the mean time per token, or 0 while too few deliveries were seen. */
    double millisPerToken() {
        if (added < SAMPLES) {
            return 0;
        }
        double[] sorted = gaps.clone();
        Arrays.sort(sorted);
        return Arrays.stream(sorted, 0, SAMPLES - OMITTED).average().orElseThrow();
    }
}
