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

/** Queueing model of an engine with continuous batching, priorities, a prefix cache, slowdown and crashes. */
public final class SimulatedEngine {
    /** Receives the output of an attempt. */
    public interface Listener {
        /**
         * Called when tokens were generated; {@code firstIndex} is the position of the first one in the complete
         * response.
         */
        void tokensGenerated(AttemptId attempt, int firstIndex, int count);

        /** Called when the response is complete; {@code count} is its number of tokens. */
        void responseCompleted(AttemptId attempt, int count);

        /** Called when the engine crashed during the attempt. */
        void connectionLost(AttemptId attempt);

        /** Called when the engine had crashed before the attempt arrived. */
        void connectionRefused(AttemptId attempt);
    }

    /**
     * Work submitted for an attempt.
     *
     * @param attempt the attempt
     * @param promptTokens number of tokens of the prompt
     * @param prefixHash hash of the shareable part of the prompt
     * @param firstIndex position from which the response is generated; greater than 0 for a resumed response
     * @param responseTokens number of tokens of the complete response
     * @param priority scheduling priority; higher values are scheduled first
     * @param listener receiver of the output
     */
    public record Job(
            AttemptId attempt,
            int promptTokens,
            long prefixHash,
            int firstIndex,
            int responseTokens,
            int priority,
            Listener listener) {}

    private static final int PREFIX_CACHE_ENTRIES = 64;

    /** Share of a prompt that a cached prefix covers. */
    private static final double CACHED_PREFIX_SHARE = 0.8;

    private final Target target;
    private final EngineSettings settings;
    private final VirtualTimeScheduler scheduler;
    private final PriorityQueue<QueuedJob> queue =
            new PriorityQueue<>(Comparator.comparingInt((QueuedJob queued) -> -queued.job.priority)
                    .thenComparingLong(queued -> queued.sequence));
    private final Map<AttemptId, RunningJob> running = new LinkedHashMap<>();
    private final Set<Long> cachedPrefixes = new LinkedHashSet<>();
    private double slowFactor = 1;
    private boolean alive = true;
    private boolean stepping;
    private long lastSequence;
    private long generatedTokens;
    private long prefilledTokens;
    private long resumePrefillTokens;

    /** Creates an idle engine. */
    public SimulatedEngine(Target target, EngineSettings settings, VirtualTimeScheduler scheduler) {
        this.target = Objects.requireNonNull(target, "target");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /** Returns the target under which routers know this engine. */
    public Target target() {
        return target;
    }

    /** Returns whether the engine has not crashed. */
    public boolean alive() {
        return alive;
    }

    /** Returns the number of tokens generated so far. */
    public long generatedTokens() {
        return generatedTokens;
    }

    /** Returns the number of uncached prompt tokens and resumed response tokens of all jobs admitted so far. */
    public long prefilledTokens() {
        return prefilledTokens;
    }

    /** Returns the part of {@link #prefilledTokens()} that belongs to resumed attempts. */
    public long resumePrefillTokens() {
        return resumePrefillTokens;
    }

    /** Returns the number of attempts in the batch. */
    public int runningCount() {
        return running.size();
    }

    /** Returns the number of queued attempts. */
    public int queuedCount() {
        return queue.size();
    }

    /** Sets the factor by which every further step takes longer. */
    public void slowDown(double factor) {
        slowFactor = factor;
    }

    /** Queues a job. */
    public void submit(Job job) {
        if (!alive) {
            job.listener().connectionRefused(job.attempt());
            return;
        }
        lastSequence++;
        queue.add(new QueuedJob(job, lastSequence));
        startStepping();
    }

    /** Removes the job of an attempt from the queue or the batch. */
    public void cancel(AttemptId attempt) {
        queue.removeIf(queued -> queued.job.attempt().equals(attempt));
        running.remove(attempt);
    }

    /** Crashes the engine for good; all its jobs are lost. */
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
        double stepMillis = settings.baseStepMillis() + settings.stepMillisPerRequest() * running.size();
        scheduler.scheduleAfterMillis((stepMillis + prefillMillis) * slowFactor, this::completeStep);
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

    /** Prefills prompts in order of admission up to the limit of one step and returns the tokens prefilled. */
    private int prefillChunk() {
        int budget = settings.prefillChunkTokens();
        for (RunningJob runningJob : running.values()) {
            int chunk = Math.min(budget, runningJob.tokensToPrefill);
            runningJob.tokensToPrefill -= chunk;
            runningJob.decoding = runningJob.tokensToPrefill == 0;
            budget -= chunk;
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
        for (RunningJob runningJob : List.copyOf(running.values())) {
            if (!runningJob.decoding || !running.containsKey(runningJob.job.attempt())) {
                continue;
            }
            generatedTokens++;
            int index = runningJob.nextIndex;
            runningJob.nextIndex++;
            runningJob.job.listener().tokensGenerated(runningJob.job.attempt(), index, 1);
            if (runningJob.nextIndex >= runningJob.job.responseTokens()) {
                running.remove(runningJob.job.attempt());
                runningJob.job.listener().responseCompleted(runningJob.job.attempt(), runningJob.job.responseTokens());
            }
        }
        step();
    }

    private record QueuedJob(Job job, long sequence) {}

    private static final class RunningJob {
        private final Job job;
        private int nextIndex;
        private int tokensToPrefill;
        private boolean decoding;

        private RunningJob(Job job, int tokensToPrefill) {
            this.job = job;
            this.tokensToPrefill = tokensToPrefill;
            this.nextIndex = job.firstIndex();
        }
    }
}
