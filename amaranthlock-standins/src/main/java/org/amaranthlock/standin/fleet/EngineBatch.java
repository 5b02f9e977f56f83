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
 * Batch and memory of an engine; the caller decides when a step is over.
 *
 * <p>A step reads a chunk of the prompts and makes one token for each request whose prompt is read. Requests, copies of
 * other engines' requests and cached prompt parts share the memory. Cached parts yield first, the least recently used
 * one before the others; then the newest of the least urgent requests is preempted and reads its prompt again. Not
 * thread-safe.
 */
public final class EngineBatch {
    private static final Comparator<Sequence> BY_URGENCY =
            Comparator.comparingInt((Sequence run) -> run.request.urgency()).thenComparingLong(run -> run.arrival);

    private final EngineConfig config;
    private final List<Sequence> waitingSequences = new ArrayList<>();
    private final List<Sequence> runningSequences = new ArrayList<>();
    private final Map<String, KvCopy> copyCount = new LinkedHashMap<>();
    private final Map<String, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private long arrivalCount;
    private long prefilledTokens;

    /**
     * Copy of another engine's request.
     *
     * @param tokens tokens that it holds
     * @param eventCount events that had been made when it was sent
     */
    public record KvCopy(int tokens, int eventCount) {}

    /** Receives what a request produces. */
    public interface Listener {
        /** The request left the queue. */
        void admitted();

        /** The request made an event. */
        void event(int number);

        /** The last event has been made. */
        void finished();
    }

    /** A request at the engine. */
    public static final class Sequence {
        private final EngineRequest request;
        private final Listener listener;
        private final long arrival;
        private int tokensToPrefill;
        private int prefilledTokens;
        private int generatedTokens;
        private int eventCount;
        private boolean admittedBefore;

        private Sequence(EngineRequest work, Listener output, long arrival, int copiedTokens) {
            this.request = work;
            this.listener = output;
            this.arrival = arrival;
            this.eventCount = work.firstEvent();
            this.prefilledTokens = copiedTokens;
        }

        /** Returns what it asks for. */
        public EngineRequest request() {
            return request;
        }

        /** Returns the number of the next event, which is how many have been made in all attempts. */
        public int eventCount() {
            return eventCount;
        }

        /** Returns its tokens in memory. */
        public int kvTokens() {
            return prefilledTokens + generatedTokens;
        }
    }

    /** Creates an idle engine. */
    public EngineBatch(EngineConfig shape) {
        this.config = shape;
    }

    /** Queues a request; empty if the queue is full or the request is larger than the memory. */
    public Optional<Sequence> submit(EngineRequest work, Listener output) {
        return submit(work, output, 0);
    }

    /** Queues a request that goes on from a copy; empty if there is no copy. */
    public Optional<Sequence> resumeFromCopy(EngineRequest work, String copyId, Listener output) {
        KvCopy copy = copyCount.remove(copyId);
        return copy == null
                ? Optional.empty()
                : submit(work, output, Math.min(copy.tokens(), initialContextTokens(work)));
    }

    /** Takes or replaces a copy; false if there is no room. */
    public boolean storeCopy(String id, KvCopy copy) {
        KvCopy before = copyCount.get(id);
        int held = before == null ? 0 : before.tokens();
        boolean slotFree = before != null || runningSequences.size() + copyCount.size() < config.slots();
        if (!slotFree || pinnedTokens() - held + copy.tokens() > config.kvCapacityTokens()) {
            return false;
        }
        copyCount.put(id, copy);
        return true;
    }

    /** Frees a copy. */
    public void removeCopy(String id) {
        copyCount.remove(id);
    }

    /** Returns the tokens of a copy; 0 if there is none. */
    public int copyTokens(String id) {
        KvCopy copy = copyCount.get(id);
        return copy == null ? 0 : copy.tokens();
    }

    /** Returns how many copies it keeps. */
    public int copyCount() {
        return copyCount.size();
    }

    /** Drops a request. */
    public void cancel(Sequence run) {
        waitingSequences.remove(run);
        runningSequences.remove(run);
    }

    /** Returns whether it has nothing to do. */
    public boolean isIdle() {
        return waitingSequences.isEmpty() && runningSequences.isEmpty();
    }

    /** Returns how many requests wait. */
    public int queuedCount() {
        return waitingSequences.size();
    }

    /** Returns the requests that run, also those whose prompt is still being read. */
    public List<Sequence> runningSequences() {
        return List.copyOf(runningSequences);
    }

    /** Returns the memory that cannot yield, tokens. */
    public int pinnedTokens() {
        int ofRuns = runningSequences.stream().mapToInt(Sequence::kvTokens).sum();
        return ofRuns + copyCount.values().stream().mapToInt(KvCopy::tokens).sum();
    }

    /** Returns the prompt tokens read so far, also those read again. */
    public long prefilledTokens() {
        return prefilledTokens;
    }

    /** Admits requests and reads a chunk of their prompts; returns how long the step takes, in milliseconds. */
    public double beginStep() {
        admit();
        int budget = config.prefillChunkTokens();
        for (Sequence run : runningSequences) {
            int chunk = Math.min(budget, run.tokensToPrefill);
            run.tokensToPrefill -= chunk;
            run.prefilledTokens += chunk;
            budget -= chunk;
        }
        int chunk = config.prefillChunkTokens() - budget;
        prefilledTokens += chunk;
        return config.baseStepMillis()
                + config.stepMillisPerSequence() * runningSequences.size()
                + chunk / config.prefillTokensPerMilli();
    }

    /** Makes one token for each request whose prompt is read. */
    public void endStep() {
        for (Sequence run : List.copyOf(runningSequences)) {
            if (run.tokensToPrefill == 0) {
                generateToken(run);
            }
        }
        freeMemory();
    }

    private Optional<Sequence> submit(EngineRequest work, Listener output, int copiedTokens) {
        if (waitingSequences.size() >= config.queueCapacity() || work.promptTokens() > config.kvCapacityTokens()) {
            return Optional.empty();
        }
        Sequence run = new Sequence(work, output, arrivalCount++, copiedTokens);
        waitingSequences.add(run);
        waitingSequences.sort(BY_URGENCY);
        return Optional.of(run);
    }

    private void admit() {
        while (!waitingSequences.isEmpty() && runningSequences.size() + copyCount.size() < config.slots()) {
            Sequence next = waitingSequences.getFirst();
            if (pinnedTokens() + initialContextTokens(next.request) > config.kvCapacityTokens()
                    && !runningSequences.isEmpty()) {
                return;
            }
            waitingSequences.removeFirst();
            startSequence(next);
        }
    }

    private void startSequence(Sequence run) {
        int cached = 0;
        for (PromptPart part : run.request.promptParts()) {
            if (prefixCache.get(part.name()) == null) {
                break;
            }
            cached += part.tokens();
        }
        run.request.promptParts().forEach(part -> prefixCache.put(part.name(), part.tokens()));
        run.prefilledTokens = Math.max(run.prefilledTokens, cached);
        run.tokensToPrefill = Math.max(0, contextTokens(run) - run.prefilledTokens);
        runningSequences.add(run);
        if (!run.admittedBefore) {
            run.admittedBefore = true;
            run.listener.admitted();
        }
    }

    private void generateToken(Sequence run) {
        run.generatedTokens++;
        if (run.generatedTokens % config.tokensPerEvent() != 0) {
            return;
        }
        int number = run.eventCount++;
        run.listener.event(number);
        if (run.eventCount >= run.request.eventCount()) {
            runningSequences.remove(run);
            run.listener.finished();
        }
    }

    private void freeMemory() {
        Iterator<Integer> oldest = prefixCache.values().iterator();
        int cached = prefixCache.values().stream().mapToInt(Integer::intValue).sum();
        while (pinnedTokens() + cached > config.kvCapacityTokens() && oldest.hasNext()) {
            cached -= oldest.next();
            oldest.remove();
        }
        while (pinnedTokens() > config.kvCapacityTokens() && runningSequences.size() > 1) {
            preempt(runningSequences.stream().max(BY_URGENCY).orElseThrow());
        }
    }

    private void preempt(Sequence run) {
        runningSequences.remove(run);
        run.prefilledTokens = 0;
        run.generatedTokens = 0;
        waitingSequences.add(run);
        waitingSequences.sort(BY_URGENCY);
    }

    private int contextTokens(Sequence run) {
        return run.request.promptTokens() + run.eventCount * config.tokensPerEvent();
    }

    private int initialContextTokens(EngineRequest work) {
        return work.promptTokens() + work.firstEvent() * config.tokensPerEvent();
    }
}
