package org.amaranthlock.coordination.estimate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;

/**
 * Shortest time that the engines of a service need to prefill a prompt, learned from the waits for first events.
 *
 * <p>A wait includes the queue at the engine, so the fastest of the recent waits per token is a lower bound that no
 * engine is expected to beat. Not thread-safe.
 */
public final class PrefillEstimates {
    /** Number of recent waits of a service; a faster engine model shows within as many requests. */
    private static final int WINDOW_SAMPLES = 64;

    /** Number of waits before an estimate is given; the first ones often queue behind each other. */
    private static final int MIN_SAMPLES = 8;

    private final Map<ServiceName, Deque<Double>> millisPerToken = new HashMap<>();

    /** Records that an engine sent the first event {@code waitMillis} after it got a prompt that it did not hold. */
    public void recordFirstEvent(ServiceName service, long promptTokens, long waitMillis) {
        Arguments.requireNonNegative(waitMillis, "wait");
        if (promptTokens <= 0) {
            return;
        }
        Deque<Double> samples = millisPerToken.computeIfAbsent(service, _ -> new ArrayDeque<>());
        samples.addLast((double) waitMillis / promptTokens);
        if (samples.size() > WINDOW_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the shortest expected wait for the first event, in milliseconds; empty if too little is known. */
    public OptionalLong minPrefillMillis(ServiceName service, long promptTokens) {
        Deque<Double> samples = millisPerToken.getOrDefault(service, new ArrayDeque<>());
        if (samples.size() < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        double fastest = samples.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
        return OptionalLong.of((long) (fastest * promptTokens));
    }
}
