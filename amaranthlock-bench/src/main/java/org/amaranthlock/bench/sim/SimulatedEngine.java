package org.amaranthlock.bench.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Target;

/** Queueing model of an engine: continuous batching, priorities, prefix cache, late load reports, slowdown, death. */
public final class SimulatedEngine {
    /** Receives what an attempt produces. */
    public interface Listener {
        /** Tokens were generated; {@code firstIndex} is their position in the whole answer. */
        void tokensGenerated(AttemptId attempt, int firstIndex, int count);

        /** The answer is complete. */
        void answerCompleted(AttemptId attempt, int count);

        /** The engine died. */
        void connectionLost(AttemptId attempt);

        /** The engine was dead before the attempt came, so the connection was refused. */
        void connectionRefused(AttemptId attempt);
    }

    /**
     * Work of an attempt.
     *
     * @param attempt the attempt
     * @param promptTokens tokens of the prompt
     * @param prefixHash hash of the shareable part of the prompt
     * @param firstIndex position at which the answer goes on
     * @param length tokens of the whole answer
     * @param priority scheduling priority, higher first
     * @param listener receiver of the results
     */
    public record Job(
            AttemptId attempt,
            int promptTokens,
            long prefixHash,
            int firstIndex,
            int length,
            int priority,
            Listener listener) {}

    private static final int PREFIX_CACHE_ENTRIES = 64;

    /** Part of a prompt that a cached prefix covers. */
    private static final double CACHED_PREFIX_SHARE = 0.8;

    private final Target target;
    private final EngineSettings settings;
    private final VirtualTimeScheduler scheduler;
    private final PriorityQueue<QueuedJob> queue =
            new PriorityQueue<>(Comparator.comparingInt((QueuedJob queued) -> -queued.job.priority)
                    .thenComparingLong(queued -> queued.order));
    private final Map<AttemptId, RunningJob> running = new LinkedHashMap<>();
    private final Set<Long> cachedPrefixes = new LinkedHashSet<>();
    private double slowFactor = 1;
    private boolean alive = true;
    private boolean stepping;
    private long order;
    private long generatedTokens;
    private long prefilledTokens;
    private long resumePrefillTokens;

    /** Creates an idle engine. */
    public SimulatedEngine(Target target, EngineSettings settings, VirtualTimeScheduler time) {
        this.target = Objects.requireNonNull(target, "target");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.scheduler = Objects.requireNonNull(time, "time");
    }

    /** Returns the target that the engine stands for. */
    public Target target() {
        return target;
    }

    /** Tells whether the engine runs. */
    public boolean alive() {
        return alive;
    }

    /** Returns the tokens generated so far. */
    public long generatedTokens() {
        return generatedTokens;
    }

    /** Returns the prompt and prefix tokens read so far that were not cached. */
    public long prefilledTokens() {
        return prefilledTokens;
    }

    /** Returns the part of the prefilled tokens that resumed attempts read. */
    public long resumePrefillTokens() {
        return resumePrefillTokens;
    }

    /** Returns the attempts that run. */
    public int runningCount() {
        return running.size();
    }

    /** Returns the attempts that wait. */
    public int queuedCount() {
        return queue.size();
    }

    /** Makes every step take {@code factor} times as long. */
    public void slowDown(double factor) {
        slowFactor = factor;
    }

    /** Takes a job. */
    public void submit(Job job) {
        if (!alive) {
            job.listener().connectionRefused(job.attempt());
            return;
        }
        order++;
        queue.add(new QueuedJob(job, order));
        startStepping();
    }

    /** Drops a job. */
    public void cancel(AttemptId attempt) {
        queue.removeIf(queued -> queued.job.attempt().equals(attempt));
        running.remove(attempt);
    }

    /** Ends the engine; every job is lost. */
    public void crash() {
        alive = false;
        List<Job> lost = new ArrayList<>();
        running.values().forEach(attempt -> lost.add(attempt.job));
        queue.forEach(queued -> lost.add(queued.job));
        running.clear();
        queue.clear();
        lost.forEach(job -> job.listener().connectionLost(job.attempt()));
    }

    private void startStepping() {
        if (!stepping) {
            stepping = true;
            step();
        }
    }

    private void step() {
        if (!alive) {
            return;
        }
        admitQueued();
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        double prefillMillis = prefillChunk() * settings.prefillMillisPerToken();
        double pace = settings.baseStepMillis() + settings.stepMillisPerRequest() * running.size();
        scheduler.scheduleAfterMillis((pace + prefillMillis) * slowFactor, this::completeStep);
    }

    private void admitQueued() {
        while (running.size() < settings.slots() && !queue.isEmpty()) {
            Job job = queue.poll().job;
            int uncached = uncachedTokens(job);
            prefilledTokens += uncached;
            resumePrefillTokens += job.firstIndex() > 0 ? uncached : 0;
            running.put(job.attempt(), new RunningJob(job, uncached));
        }
    }

    /** Reads prompts in the order of admission up to the limit of one step and returns the tokens read. */
    private int prefillChunk() {
        int budget = settings.prefillChunkTokens();
        for (RunningJob attempt : running.values()) {
            int read = Math.min(budget, attempt.remainingPrefillTokens);
            attempt.remainingPrefillTokens -= read;
            attempt.decoding = attempt.remainingPrefillTokens == 0;
            budget -= read;
        }
        return settings.prefillChunkTokens() - budget;
    }

    private int uncachedTokens(Job job) {
        boolean cached = cachedPrefixes.remove(job.prefixHash());
        cachedPrefixes.add(job.prefixHash());
        if (cachedPrefixes.size() > PREFIX_CACHE_ENTRIES) {
            cachedPrefixes.remove(cachedPrefixes.iterator().next());
        }
        int prompt = cached ? (int) (job.promptTokens() * (1 - CACHED_PREFIX_SHARE)) : job.promptTokens();
        return prompt + job.firstIndex();
    }

    private void completeStep() {
        if (!alive) {
            return;
        }
        for (RunningJob attempt : List.copyOf(running.values())) {
            if (!attempt.decoding || !running.containsKey(attempt.job.attempt())) {
                continue;
            }
            generatedTokens++;
            int index = attempt.nextIndex;
            attempt.nextIndex++;
            attempt.job.listener().tokensGenerated(attempt.job.attempt(), index, 1);
            if (attempt.nextIndex >= attempt.job.length()) {
                running.remove(attempt.job.attempt());
                attempt.job.listener().answerCompleted(attempt.job.attempt(), attempt.job.length());
            }
        }
        step();
    }

    private record QueuedJob(Job job, long order) {}

    private static final class RunningJob {
        private final Job job;
        private int nextIndex;
        private int remainingPrefillTokens;
        private boolean decoding;

        private RunningJob(Job job, int unread) {
            this.job = job;
            this.remainingPrefillTokens = unread;
            this.nextIndex = job.firstIndex();
        }
    }
}
