package org.amaranthlock.entry.target;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.PromptPart;
import org.amaranthlock.entry.log.DecisionLog;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Finds the engine that holds a prompt in its KV cache, by asking the engines.
 *
 * <p>When hosts die, their clients come back to other hosts at the same moment. Their searches share one list per
 * engine, which is asked for at most every {@link #LIST_VALIDITY_MILLIS}. All calls are on the traffic loop.
 */
public final class PromptLocator {
    /** Time for which the lists of the engines are used again. */
    private static final long LIST_VALIDITY_MILLIS = 500;

    /** Time after which a search ends with the lists that have arrived; most engines answer within 60 ms. */
    private static final long SEARCH_TIMEOUT_MILLIS = 120;

    /**
     * Maximum number of engines that a host asks at once. All hosts of a fleet may search at the same moment, and each
     * list takes time of an engine; beyond this number, a host asks some engines at random.
     */
    private static final int MAX_LISTED_ENGINES = 32;

    /** Fraction of a part that an engine must hold to be preferred; the rest is prefilled there. */
    private static final double MIN_HELD_FRACTION = 0.5;

    private final EventLoop loop;
    private final KvCacheLister lister;
    private final LongSupplier clockMillis;
    private final UniformRandomProvider random;
    private final DecisionLog log;
    private final Map<EntryTarget, Map<String, Long>> tokensByEngine = new HashMap<>();
    private final List<Search> searches = new ArrayList<>();
    private long listedAtMillis = Long.MIN_VALUE / 2; // half, so that the age does not overflow
    private int outstandingLists;

    /** Requests the prompt parts in an engine's KV cache, with their number of tokens; empty if there is no answer. */
    @FunctionalInterface
    public interface KvCacheLister {
        /** Passes the tokens by prompt part to {@code result}, exactly once. */
        void list(EntryTarget engine, Consumer<Optional<Map<String, Long>>> result);
    }

    private record Search(PromptPart part, Consumer<Optional<EntryTarget>> result) {}

    /** Creates a locator whose calls run on {@code loop}. */
    public PromptLocator(
            EventLoop loop,
            KvCacheLister lister,
            LongSupplier clockMillis,
            UniformRandomProvider random,
            DecisionLog log) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.lister = Objects.requireNonNull(lister, "lister");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Passes the engine that holds most of a part to {@code result}; empty if none holds enough of it. */
    public void locate(PromptPart part, List<EntryTarget> engines, Consumer<Optional<EntryTarget>> result) {
        Search search = new Search(part, result);
        searches.add(search);
        loop.schedule(() -> finish(search), SEARCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (clockMillis.getAsLong() - listedAtMillis >= LIST_VALIDITY_MILLIS) {
            list(sample(engines));
        }
        finishCompletedSearches();
    }

    private List<EntryTarget> sample(List<EntryTarget> engines) {
        List<EntryTarget> sampled = new ArrayList<>(engines);
        while (sampled.size() > MAX_LISTED_ENGINES) {
            int last = sampled.size() - 1;
            Collections.swap(sampled, random.nextInt(sampled.size()), last);
            sampled.remove(last);
        }
        return sampled;
    }

    private void list(List<EntryTarget> engines) {
        listedAtMillis = clockMillis.getAsLong();
        tokensByEngine.clear();
        outstandingLists = engines.size();
        long round = listedAtMillis;
        for (EntryTarget engine : engines) {
            lister.list(engine, tokens -> {
                if (round == listedAtMillis) {
                    outstandingLists--;
                    tokens.ifPresent(parts -> tokensByEngine.put(engine, parts));
                    finishCompletedSearches();
                }
            });
        }
    }

    /** Ends the searches whose part is held completely by an engine; all of them if no list is outstanding. */
    private void finishCompletedSearches() {
        for (Search search : List.copyOf(searches)) {
            boolean found = holder(search.part())
                    .map(engine ->
                            heldTokens(engine, search.part()) >= search.part().tokens())
                    .orElse(false);
            if (found || outstandingLists == 0) {
                finish(search);
            }
        }
    }

    private void finish(Search search) {
        if (!searches.remove(search)) {
            return; // finished before its timeout
        }
        Optional<EntryTarget> holder = holder(search.part())
                .filter(engine -> heldTokens(engine, search.part())
                        >= MIN_HELD_FRACTION * search.part().tokens());
        log.write(
                "prompt-located",
                "part",
                search.part().id(),
                "target",
                holder.map(engine -> engine.id().value()).orElse("-"),
                "lists",
                tokensByEngine.size(),
                "age_ms",
                clockMillis.getAsLong() - listedAtMillis);
        search.result().accept(holder);
    }

    private Optional<EntryTarget> holder(PromptPart part) {
        EntryTarget best = null;
        for (EntryTarget engine : tokensByEngine.keySet()) {
            if (best == null || heldTokens(engine, part) > heldTokens(best, part)) {
                best = engine;
            }
        }
        return Optional.ofNullable(best);
    }

    private long heldTokens(EntryTarget engine, PromptPart part) {
        return tokensByEngine.get(engine).getOrDefault(part.id(), 0L);
    }
}
