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

    private final EngineConfig shape;
    private final List<Sequence> waiting = new ArrayList<>();
    private final List<Sequence> running = new ArrayList<>();
    private final Map<String, KvCopy> copies = new LinkedHashMap<>();
    private final Map<String, Integer> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
    private long arrivals;
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
        private final Listener output;
        private final long arrival;
        private int unread;
        private int read;
        private int generated;
        private int eventCount;
        private boolean known;

        private Sequence(EngineRequest work, Listener output, long arrival, int copiedTokens) {
            this.request = work;
            this.output = output;
            this.arrival = arrival;
            this.eventCount = work.firstEvent();
            this.read = copiedTokens;
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
            return read + generated;
        }
    }

    /** Creates an idle engine. */
    public EngineBatch(EngineConfig shape) {
        this.shape = shape;
    }

    /** Queues a request; empty if the queue is full or the request is larger than the memory. */
    public Optional<Sequence> submit(EngineRequest work, Listener output) {
        return submit(work, output, 0);
    }

    /** Queues a request that goes on from a copy; empty if there is no copy. */
    public Optional<Sequence> submitFromCopy(EngineRequest work, String copyId, Listener output) {
        KvCopy copy = copies.remove(copyId);
        return copy == null ? Optional.empty() : submit(work, output, Math.min(copy.tokens(), fullContext(work)));
    }

    /** Takes or replaces a copy; false if there is no room. */
    public boolean storeCopy(String id, KvCopy copy) {
        KvCopy before = copies.get(id);
        int held = before == null ? 0 : before.tokens();
        boolean slotFree = before != null || running.size() + copies.size() < shape.slots();
        if (!slotFree || firmTokens() - held + copy.tokens() > shape.kvCapacityTokens()) {
            return false;
        }
        copies.put(id, copy);
        return true;
    }

    /** Frees a copy. */
    public void removeCopy(String id) {
        copies.remove(id);
    }

    /** Returns the tokens of a copy; 0 if there is none. */
    public int copyTokens(String id) {
        KvCopy copy = copies.get(id);
        return copy == null ? 0 : copy.tokens();
    }

    /** Returns how many copies it keeps. */
    public int copies() {
        return copies.size();
    }

    /** Drops a request. */
    public void cancel(Sequence run) {
        waiting.remove(run);
        running.remove(run);
    }

    /** Returns whether it has nothing to do. */
    public boolean isIdle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    /** Returns how many requests wait. */
    public int queuedCount() {
        return waiting.size();
    }

    /** Returns the requests that run, also those whose prompt is still being read. */
    public List<Sequence> running() {
        return List.copyOf(running);
    }

    /** Returns the memory that cannot yield, tokens. */
    public int firmTokens() {
        int ofRuns = running.stream().mapToInt(Sequence::kvTokens).sum();
        return ofRuns + copies.values().stream().mapToInt(KvCopy::tokens).sum();
    }

    /** Returns the prompt tokens read so far, also those read again. */
    public long prefilledTokens() {
        return prefilledTokens;
    }

    /** Admits requests and reads a chunk of their prompts; returns how long the step takes, in milliseconds. */
    public double beginStep() {
        admit();
        int budget = shape.prefillChunkTokens();
        for (Sequence run : running) {
            int chunk = Math.min(budget, run.unread);
            run.unread -= chunk;
            run.read += chunk;
            budget -= chunk;
        }
        int chunk = shape.prefillChunkTokens() - budget;
        prefilledTokens += chunk;
        return shape.baseStepMillis()
                + shape.stepMillisPerSequence() * running.size()
                + chunk / shape.prefillTokensPerMilli();
    }

    /** Makes one token for each request whose prompt is read. */
    public void endStep() {
        for (Sequence run : List.copyOf(running)) {
            if (run.unread == 0) {
                generate(run);
            }
        }
        makeRoom();
    }

    private Optional<Sequence> submit(EngineRequest work, Listener output, int copiedTokens) {
        if (waiting.size() >= shape.queueCapacity() || work.promptTokens() > shape.kvCapacityTokens()) {
            return Optional.empty();
        }
        Sequence run = new Sequence(work, output, arrivals++, copiedTokens);
        waiting.add(run);
        waiting.sort(BY_URGENCY);
        return Optional.of(run);
    }

    private void admit() {
        while (!waiting.isEmpty() && running.size() + copies.size() < shape.slots()) {
            Sequence next = waiting.getFirst();
            if (firmTokens() + fullContext(next.request) > shape.kvCapacityTokens() && !running.isEmpty()) {
                return;
            }
            waiting.removeFirst();
            begin(next);
        }
    }

    private void begin(Sequence run) {
        int cached = 0;
        for (PromptPart part : run.request.promptParts()) {
            if (cachedParts.get(part.name()) == null) {
                break;
            }
            cached += part.tokens();
        }
        run.request.promptParts().forEach(part -> cachedParts.put(part.name(), part.tokens()));
        run.read = Math.max(run.read, cached);
        run.unread = Math.max(0, contextTokens(run) - run.read);
        running.add(run);
        if (!run.known) {
            run.known = true;
            run.output.admitted();
        }
    }

    private void generate(Sequence run) {
        run.generated++;
        if (run.generated % shape.tokensPerEvent() != 0) {
            return;
        }
        int number = run.eventCount++;
        run.output.event(number);
        if (run.eventCount >= run.request.eventCount()) {
            running.remove(run);
            run.output.finished();
        }
    }

    private void makeRoom() {
        Iterator<Integer> oldest = cachedParts.values().iterator();
        int cached = cachedParts.values().stream().mapToInt(Integer::intValue).sum();
        while (firmTokens() + cached > shape.kvCapacityTokens() && oldest.hasNext()) {
            cached -= oldest.next();
            oldest.remove();
        }
        while (firmTokens() > shape.kvCapacityTokens() && running.size() > 1) {
            preempt(running.stream().max(BY_URGENCY).orElseThrow());
        }
    }

    private void preempt(Sequence run) {
        running.remove(run);
        run.read = 0;
        run.generated = 0;
        waiting.add(run);
        waiting.sort(BY_URGENCY);
    }

    private int contextTokens(Sequence run) {
        return run.request.promptTokens() + run.eventCount * shape.tokensPerEvent();
    }

    private int fullContext(EngineRequest work) {
        return work.promptTokens() + work.firstEvent() * shape.tokensPerEvent();
    }
}
