package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Says when engines are so loaded that another prompt would only wait and delay the others.
 *
 * <p>Load pattern: a peak fills the memory of all engines. Requests that wait there are preempted, given up and read again
 * elsewhere, so that in the end hardly any is on time. Requests beyond the peak are refused at once instead, and their
 * return is spread; requests that are in the engines stay where they are.
 */
public final class LoadSheddingPolicy {
    /** Prompts waiting at an engine beyond which another one would hardly have its first event in time. */
    private static final int LONGEST_QUEUE = 3;

    /** Advice to a refused client if no prompt waits; grows with each prompt that does. */
    private static final long FIRST_RETURN_MILLIS = 600;

    /** Typical time in which an engine reads a long prompt. */
    private static final long PROMPT_MILLIS = 1_000;

    private final UniformRandomProvider random;

    /** Creates a rule that spreads the return of refused clients with {@code random}. */
    public LoadSheddingPolicy(UniformRandomProvider random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns when a client should come back if its request should not be sent now, milliseconds; empty if it should be
     * sent.
     *
     * @param tokens memory that the request is expected to need, tokens
     * @param engines engines that may be used
     */
    OptionalLong retryAfterMillis(ServiceDefinition service, long tokens, List<CandidateLoad> engines) {
        if (engines.isEmpty() || engines.stream().anyMatch(engine -> takes(service, tokens, engine, LONGEST_QUEUE))) {
            return OptionalLong.empty();
        }
        int shortest = engines.stream()
                .mapToInt(engine -> engine.inFlight().prefilling())
                .min()
                .orElse(0);
        long expected = FIRST_RETURN_MILLIS + shortest * PROMPT_MILLIS / 2;
        return OptionalLong.of((long) (expected * (0.5 + random.nextDouble())));
    }

    /** Returns whether an engine could begin at once with a request that makes no progress where it is. */
    static boolean hasSpareCapacity(ServiceDefinition service, long tokens, CandidateLoad engine) {
        return !engine.suspect() && takes(service, tokens, engine, 1);
    }

    private static boolean takes(ServiceDefinition service, long tokens, CandidateLoad engine, int longestQueue) {
        return engine.inFlight().prefilling() < longestQueue && service.hasCapacity(engine.inFlight(), tokens, 1);
    }
}
