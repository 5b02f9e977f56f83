package org.amaranthlock.standin.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.standin.fleet.EngineRequest.PromptPart;

/**
 * Model of the continuous batching and the KV cache of an engine; the caller decides when a step ends.
 *
 * <p>A step prefills a chunk of the prompts and generates one token for each request whose prompt is completely
 * prefilled. Running requests, copies of other engines' requests and cached prompt parts share the KV cache. When it
 * is full, cached parts are evicted first, in least recently used order; then the newest request of the lowest priority
 * is preempted and has its prompt prefilled again. Not thread-safe.
 */
public final class EngineBatch {
    /** Orders requests from the highest priority, which is the lowest number, to the lowest, and then by arrival. */
    private static final Comparator<Sequence> BY_PRIORITY = Comparator.comparingInt(
                    (Sequence sequence) -> sequence.request.priority())
            .thenComparingLong(sequence -> sequence.arrivalNumber);

    private final EngineConfig config;
    private final List<Sequence> waitingSequences = new ArrayList<>();
    private final List<Sequence> runningSequences = new ArrayList<>();
    private final Map<String, KvCopy> copies = new LinkedHashMap<>();
    private final Map<String, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private long arrivalCount;
    private long prefilledTokens;

    /**
     * Copy of the KV cache of another engine's request.
     *
     * @param tokens number of tokens in the copy
     * @param eventCount number of events that had been generated when the copy was sent
     */
    public record KvCopy(int tokens, int eventCount) {}

    /** Listener for the progress of a request. */
    public interface Listener {
        /** Called when the request leaves the queue for the first time. */
        void admitted();

        /** Called for each generated event. */
        void event(int number);

        /** Called after the last event. */
        void finished();
    }

    /** Generation state of a request in the engine. */
    public static final class Sequence {
        private final EngineRequest request;
        private final Listener listener;
        private final long arrivalNumber;
        private int tokensToPrefill;
        private int prefilledTokens;
        private int generatedTokens;
        private int eventCount;
        private boolean admittedBefore;

        private Sequence(EngineRequest request, Listener listener, long arrival, int copiedTokens) {
            this.request = request;
            this.listener = listener;
            this.arrivalNumber = arrival;
            this.eventCount = request.firstEvent();
            this.prefilledTokens = copiedTokens;
        }

        /** Returns the request. */
        public EngineRequest request() {
            return request;
        }

        /** Returns the number of events generated in all attempts, which is also the number of the next event. */
        public int eventCount() {
            return eventCount;
        }

        /** Returns the number of tokens of the request in the KV cache. */
        public int kvTokens() {
            return prefilledTokens + generatedTokens;
        }
    }

    /** Creates an empty batch for an engine with the given size and speed. */
    public EngineBatch(EngineConfig config) {
        this.config = config;
    }

    /** Queues a request; returns empty if the queue is full or the prompt exceeds the KV cache. */
    public Optional<Sequence> submit(EngineRequest request, Listener listener) {
        return submit(request, listener, 0);
    }

    /** Queues a request that resumes from a stored copy and consumes it; returns empty if there is no such copy. */
    public Optional<Sequence> resumeFromCopy(EngineRequest request, String copyId, Listener listener) {
        KvCopy copy = copies.remove(copyId);
        return copy == null
                ? Optional.empty()
                : submit(request, listener, Math.min(copy.tokens(), initialContextTokens(request)));
    }

    /** Stores or replaces a copy; returns {@code false} if there is no free slot or not enough KV cache. */
    public boolean storeCopy(String id, KvCopy copy) {
        KvCopy previous = copies.get(id);
        int previousTokens = previous == null ? 0 : previous.tokens();
        boolean slotFree = previous != null || runningSequences.size() + copies.size() < config.slots();
        if (!slotFree || pinnedTokens() - previousTokens + copy.tokens() > config.kvCapacityTokens()) {
            return false;
        }
        copies.put(id, copy);
        return true;
    }

    /** Removes a copy and frees its slot and its part of the KV cache. */
    public void removeCopy(String id) {
        copies.remove(id);
    }

    /** Returns the number of tokens of a copy; 0 if there is none. */
    public int copyTokens(String id) {
        KvCopy copy = copies.get(id);
        return copy == null ? 0 : copy.tokens();
    }

    /** Returns the number of stored copies. */
    public int copyCount() {
        return copies.size();
    }

    /** Removes a request from the queue or from the batch. */
    public void cancel(Sequence sequence) {
        waitingSequences.remove(sequence);
        runningSequences.remove(sequence);
    }

    /** Returns whether no request is waiting or running. */
    public boolean isIdle() {
        return waitingSequences.isEmpty() && runningSequences.isEmpty();
    }

    /** Returns the number of waiting requests. */
    public int queuedCount() {
        return waitingSequences.size();
    }

    /** Returns the running requests, including those whose prompt is still being prefilled. */
    public List<Sequence> runningSequences() {
        return List.copyOf(runningSequences);
    }

    /** Returns the number of tokens that cannot be evicted: those of running requests and of copies. */
    public int pinnedTokens() {
        int runningTokens =
                runningSequences.stream().mapToInt(Sequence::kvTokens).sum();
        return runningTokens + copies.values().stream().mapToInt(KvCopy::tokens).sum();
    }

    /** Returns the number of tokens of each prompt part in the KV cache, the least recently used part first. */
    public Map<String, Integer> cachedParts() {
        return new LinkedHashMap<>(prefixCache);
    }

    /** Returns the number of prompt tokens prefilled so far, including those prefilled again after a preemption. */
    public long prefilledTokens() {
        return prefilledTokens;
    }

    /** Admits requests and prefills a chunk of their prompts; returns the duration of the step in milliseconds. */
    public double beginStep() {
        admit();
        int budget = config.prefillChunkTokens();
        for (Sequence sequence : runningSequences) {
            int chunk = Math.min(budget, sequence.tokensToPrefill);
            sequence.tokensToPrefill -= chunk;
            sequence.prefilledTokens += chunk;
            budget -= chunk;
        }
        int chunk = config.prefillChunkTokens() - budget;
        prefilledTokens += chunk;
        return config.baseStepMillis()
                + config.stepMillisPerSequence() * runningSequences.size()
                + chunk / config.prefillTokensPerMilli();
    }

    /**
     * Generates one token for each request whose prompt is prefilled, then evicts and preempts if the KV cache is full.
     */
    public void endStep() {
        for (Sequence sequence : List.copyOf(runningSequences)) {
            if (sequence.tokensToPrefill == 0) {
                generateToken(sequence);
            }
        }
        freeKvCache();
    }

    private Optional<Sequence> submit(EngineRequest request, Listener listener, int copiedTokens) {
        if (waitingSequences.size() >= config.queueCapacity() || request.promptTokens() > config.kvCapacityTokens()) {
            return Optional.empty();
        }
        Sequence sequence = new Sequence(request, listener, arrivalCount++, copiedTokens);
        waitingSequences.add(sequence);
        waitingSequences.sort(BY_PRIORITY);
        return Optional.of(sequence);
    }

    private void admit() {
        while (!waitingSequences.isEmpty() && runningSequences.size() + copies.size() < config.slots()) {
            Sequence next = waitingSequences.getFirst();
            if (pinnedTokens() + initialContextTokens(next.request) > config.kvCapacityTokens()
                    && !runningSequences.isEmpty()) {
                return;
            }
            waitingSequences.removeFirst();
            startSequence(next);
        }
    }

    private void startSequence(Sequence sequence) {
        int cachedTokens = 0;
        for (PromptPart part : sequence.request.promptParts()) {
            if (prefixCache.get(part.name()) == null) {
                break;
            }
            cachedTokens += part.tokens();
        }
        sequence.request.promptParts().forEach(part -> prefixCache.put(part.name(), part.tokens()));
        sequence.prefilledTokens = Math.max(sequence.prefilledTokens, cachedTokens);
        sequence.tokensToPrefill = Math.max(0, contextTokens(sequence) - sequence.prefilledTokens);
        runningSequences.add(sequence);
        if (!sequence.admittedBefore) {
            sequence.admittedBefore = true;
            sequence.listener.admitted();
        }
    }

    private void generateToken(Sequence sequence) {
        sequence.generatedTokens++;
        if (sequence.generatedTokens % config.tokensPerEvent() != 0) {
            return;
        }
        boolean resumedAfterLastEvent = sequence.eventCount >= sequence.request.eventCount();
        if (!resumedAfterLastEvent) {
            sequence.listener.event(sequence.eventCount++);
        }
        if (sequence.eventCount >= sequence.request.eventCount()) {
            runningSequences.remove(sequence);
            sequence.listener.finished();
        }
    }

    private void freeKvCache() {
        Iterator<Integer> oldest = prefixCache.values().iterator();
        int cachedTokens =
                prefixCache.values().stream().mapToInt(Integer::intValue).sum();
        while (pinnedTokens() + cachedTokens > config.kvCapacityTokens() && oldest.hasNext()) {
            cachedTokens -= oldest.next();
            oldest.remove();
        }
        while (pinnedTokens() > config.kvCapacityTokens() && runningSequences.size() > 1) {
            preempt(runningSequences.stream().max(BY_PRIORITY).orElseThrow());
        }
    }

    private void preempt(Sequence sequence) {
        runningSequences.remove(sequence);
        sequence.prefilledTokens = 0;
        sequence.generatedTokens = 0;
        waitingSequences.add(sequence);
        waitingSequences.sort(BY_PRIORITY);
    }

    private int contextTokens(Sequence sequence) {
        return sequence.request.promptTokens() + sequence.eventCount * config.tokensPerEvent();
    }

    private int initialContextTokens(EngineRequest request) {
        return request.promptTokens() + request.firstEvent() * config.tokensPerEvent();
    }
}
