package org.amaranthlock.bench.forwarding;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;

/**
 * Result of one simulation.
 *
 * @param streams timings of all streams as their clients saw them
 * @param prefilledTokens prompt tokens that engines prefilled, including those prefilled again after a loss or
 *     preemption
 * @param promptTokens prompt tokens of all streams, without the shared prefix
 * @param copiedTokens tokens of KV cache copied to backup engines
 * @param loadReportsSent load reports that hosts sent to each other
 */
record ForwardingResult(
        List<StreamTimings> streams, long prefilledTokens, long promptTokens, long copiedTokens, long loadReportsSent) {
    private static final double PERCENT = 100;
    private static final int SIGNIFICANT_DIGITS = 3;

    double onTimePercent(long maxPauseMillis) {
        long onTime = streams.stream()
                .filter(stream -> stream.onTime(ForwardingSimulation.FIRST_EVENT_GOAL_MILLIS, maxPauseMillis))
                .count();
        return PERCENT * onTime / streams.size();
    }

    double incompletePercent() {
        return PERCENT * streams.stream().filter(stream -> !stream.complete()).count() / streams.size();
    }

    double firstEventMillis(double percentile) {
        return percentile(
                streams.stream().mapToLong(StreamTimings::firstEventMillis).filter(millis -> millis >= 0), percentile);
    }

    double pauseAfterLossMillis(double percentile) {
        return percentile(
                streams.stream()
                        .flatMap(stream -> stream.pausesAfterLossMillis().stream())
                        .mapToLong(Long::longValue),
                percentile);
    }

    double recomputedPercent() {
        return PERCENT * (prefilledTokens - promptTokens) / promptTokens;
    }

    double copiedTokensPerPromptToken() {
        return (double) copiedTokens / promptTokens;
    }

    /** Returns the lowest percentage of streams on time among all windows of {@code windowMillis} by arrival time. */
    double worstWindowOnTimePercent(long windowMillis, long maxPauseMillis) {
        ToDoubleFunction<Long> windowPercent = window -> {
            List<StreamTimings> inside = streams.stream()
                    .filter(stream -> stream.arrivedAtMillis() / windowMillis == window)
                    .toList();
            long onTime = inside.stream()
                    .filter(stream -> stream.onTime(ForwardingSimulation.FIRST_EVENT_GOAL_MILLIS, maxPauseMillis))
                    .count();
            return PERCENT * onTime / inside.size();
        };
        return streams.stream()
                .map(stream -> stream.arrivedAtMillis() / windowMillis)
                .distinct()
                .mapToDouble(windowPercent)
                .min()
                .orElse(0);
    }

    private static double percentile(LongStream millis, double percentile) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        millis.forEach(histogram::recordValue);
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percentile);
    }
}
