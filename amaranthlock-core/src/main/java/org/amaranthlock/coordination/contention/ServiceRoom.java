package org.amaranthlock.coordination.contention;

import java.util.List;
import java.util.OptionalInt;
import org.amaranthlock.model.Arguments;

/**
 * Room of a service's engines: the free capacity that is visible to a host.
 *
 * @param engines the engines
 * @param kvCacheTokens KV cache size of one engine, in tokens; 0 if unknown
 * @param unseenPrompts expected number of prompts that other hosts have sent and not yet reported to this one
 */
public record ServiceRoom(List<Engine> engines, long kvCacheTokens, double unseenPrompts) {
    /**
     * Room of one engine.
     *
     * @param prompts number of prompts in flight to it, queued there or being prefilled
     * @param freeTokens KV cache that is not reserved for streams up to the end of their answers or for backups, in
     *     tokens
     */
    public record Engine(int prompts, long freeTokens) {
        /** Returns whether a request fits in the KV cache, so that no running stream is preempted. */
        boolean fits(long tokens) {
            return freeTokens >= tokens;
        }
    }

    public ServiceRoom {
        engines = List.copyOf(engines);
        Arguments.requireNonNegative(kvCacheTokens, "KV cache tokens");
    }

    /** Creates the room as seen by a host to which all prompts have been reported. */
    public ServiceRoom(List<Engine> engines, long kvCacheTokens) {
        this(engines, kvCacheTokens, 0);
    }

    /** Returns the number of engines that have no other prompt and enough free KV cache for the request. */
    public long freeEngines(long tokens) {
        return engines.stream()
                .filter(engine -> engine.prompts() == 0 && engine.fits(tokens))
                .count();
    }

    /** Returns the least number of prompts at an engine that has the KV cache for a request; empty if none has. */
    public OptionalInt leastPrompts(long tokens) {
        return engines.stream()
                .filter(engine -> engine.fits(tokens))
                .mapToInt(Engine::prompts)
                .min();
    }

    /**
     * Returns the prefill time that all engines together complete per unit of time, for requests like the given one:
     * the number of engines, or less if running streams fill the KV cache first.
     */
    double rate(WaitingRequest request) {
        if (kvCacheTokens == 0 || request.tokens() == 0) {
            return engines.size();
        }
        double concurrent = (double) kvCacheTokens / request.tokens();
        double held = request.prefillMillis() + request.generationMillis();
        return engines.size() * Math.min(1, concurrent * request.prefillMillis() / held);
    }

    /** Returns how long a request waits until an engine has room for it if no other waits, in milliseconds. */
    double waitMillis(WaitingRequest request) {
        if (freeEngines(request.tokens()) > 0) {
            return 0;
        }
        int prompts = leastPrompts(request.tokens()).orElse(1);
        return (prompts - 1) * request.prefillMillis() + request.prefillMillis() / rate(request);
    }
}
