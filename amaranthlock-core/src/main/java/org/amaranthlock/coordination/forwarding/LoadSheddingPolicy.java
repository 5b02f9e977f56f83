package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.amaranthlock.coordination.placement.CandidateLoad;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when all engines are so loaded that another prompt would only wait and delay others.
 *
 * <p>During a peak, the KV caches of all engines fill up. Requests that wait there are preempted, abandoned and
 * prefilled again on other engines, until hardly any completes in time. Requests beyond the capacity are therefore
 * rejected immediately, and their retries are spread over time; requests that engines have accepted stay where they
 * are.
 */
public final class LoadSheddingPolicy {
    /** Number of prompts queued on an engine at which another one would hardly get its first event in time. */
    private static final int MAX_PREFILL_QUEUE = 3;

    /** Mean retry delay for rejected clients if no prompt is queued; grows with each queued prompt. */
    private static final long BASE_RETRY_AFTER_MILLIS = 600;

    /** Typical time that an engine takes to prefill a long prompt. */
    private static final long PREFILL_MILLIS = 1_000;

    private final UniformRandomProvider random;

    /** Creates a policy that randomizes the retry delay of rejected clients with {@code random}. */
    public LoadSheddingPolicy(UniformRandomProvider random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns the delay, in milliseconds, after which a client should retry a request that is to be rejected; empty if
     * the request is to be sent, or if there are no engines, in which case the choice of a target rejects it.
     *
     * @param tokens KV cache size that the request is expected to need, in tokens
     * @param engines candidate engines
     */
    OptionalLong retryAfterMillis(ServiceDefinition service, long tokens, List<CandidateLoad> engines) {
        return retryAfterMillis(service, tokens, engines, random);
    }

    /** Returns the retry delay drawn from {@code random}, for previews with a copy of a policy's generator. */
    static OptionalLong retryAfterMillis(
            ServiceDefinition service, long tokens, List<CandidateLoad> engines, UniformRandomProvider random) {
        if (engines.isEmpty()
                || engines.stream().anyMatch(engine -> accepts(service, tokens, engine, MAX_PREFILL_QUEUE))) {
            return OptionalLong.empty();
        }
        int shortest = engines.stream()
                .mapToInt(engine -> engine.inFlight().prefilling())
                .min()
                .orElse(0);
        long meanMillis = BASE_RETRY_AFTER_MILLIS + shortest * PREFILL_MILLIS / 2;
        return OptionalLong.of((long) (meanMillis * (0.5 + random.nextDouble())));
    }

    /**
     * Returns whether an engine could start immediately with a request that makes no progress on its current engine.
     */
    static boolean hasSpareCapacity(ServiceDefinition service, long tokens, CandidateLoad engine) {
        return !engine.suspect() && accepts(service, tokens, engine, 1);
    }

    private static boolean accepts(ServiceDefinition service, long tokens, CandidateLoad engine, int maxPrefillQueue) {
        return engine.inFlight().prefilling() < maxPrefillQueue && service.hasCapacity(engine.inFlight(), tokens, 1);
    }
}
