package org.amaranthlock.entry.target;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.PromptHolders;
import org.amaranthlock.coordination.forwarding.PromptPart;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.model.SoftwareVersion;
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

    /** Whether an engine was not asked or did not answer; what it holds is open. */
    private boolean listsMissing;

    /** Requests the prompt parts in an engine's KV cache, with their number of tokens; empty if there is no answer. */
    @FunctionalInterface
    public interface KvCacheLister {
        /** Passes the tokens by prompt part to {@code result}, exactly once. */
        void list(EntryTarget engine, Consumer<Optional<Map<String, Long>>> result);
    }

    private record Search(PromptPart part, Optional<SoftwareVersion> version, Consumer<PromptHolders> result) {}

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

    /**
     * Passes the engines that hold enough of a part to {@code result}.
     *
     * @param version version of the engine that is searched; empty for any, and then all engines are awaited
     */
    public void locate(
            PromptPart part,
            List<EntryTarget> engines,
            Optional<SoftwareVersion> version,
            Consumer<PromptHolders> result) {
        Search search = new Search(part, version, result);
        searches.add(search);
        loop.schedule(() -> finish(search), SEARCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (clockMillis.getAsLong() - listedAtMillis >= LIST_VALIDITY_MILLIS) {
            List<EntryTarget> asked = sample(engines);
            list(asked, asked.size() < engines.size());
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

    private void list(List<EntryTarget> engines, boolean othersNotAsked) {
        listedAtMillis = clockMillis.getAsLong();
        tokensByEngine.clear();
        outstandingLists = engines.size();
        listsMissing = othersNotAsked;
        long round = listedAtMillis;
        for (EntryTarget engine : engines) {
            lister.list(engine, tokens -> {
                if (round == listedAtMillis) {
                    outstandingLists--;
                    listsMissing |= tokens.isEmpty();
                    tokens.ifPresent(parts -> tokensByEngine.put(engine, parts));
                    finishCompletedSearches();
                }
            });
        }
    }

    /** Ends the searches whose part is held completely by an engine; all of them if no list is outstanding. */
    private void finishCompletedSearches() {
        for (Search search : List.copyOf(searches)) {
            boolean found = search.version().isPresent()
                    && best(search)
                            .map(engine -> heldTokens(engine, search.part())
                                    >= search.part().tokens())
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
        Optional<EntryTarget> holder = best(search).filter(engine -> holdsEnough(engine, search.part()));
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
        search.result().accept(new PromptHolders(holder, holderVersions(search.part()), isComplete()));
    }

    /** Returns the engine of the searched version that holds most of the part. */
    private Optional<EntryTarget> best(Search search) {
        return tokensByEngine.keySet().stream()
                .filter(engine ->
                        search.version().isEmpty() || search.version().get().equals(engine.version()))
                .max(Comparator.comparingLong(engine -> heldTokens(engine, search.part())));
    }

    private Set<SoftwareVersion> holderVersions(PromptPart part) {
        return tokensByEngine.keySet().stream()
                .filter(engine -> holdsEnough(engine, part))
                .map(EntryTarget::version)
                .collect(Collectors.toSet());
    }

    private boolean isComplete() {
        return outstandingLists == 0 && !listsMissing;
    }

    private boolean holdsEnough(EntryTarget engine, PromptPart part) {
        return heldTokens(engine, part) >= MIN_HELD_FRACTION * part.tokens();
    }

    private long heldTokens(EntryTarget engine, PromptPart part) {
        return tokensByEngine.get(engine).getOrDefault(part.id(), 0L);
    }
}
