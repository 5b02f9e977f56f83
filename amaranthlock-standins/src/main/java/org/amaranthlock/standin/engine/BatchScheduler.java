package org.amaranthlock.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.amaranthlock.standin.Timing;

/**
 * Scheduler with continuous batching: a single thread generates one token for every running stream per step.
 *
 * <p>The duration of a step grows with the number of running streams. A stream joins the batch when a slot is free,
 * highest priority first, and generates tokens after its prefill time.
 */
final class BatchScheduler {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    /** Longest wait between two checks of the stall fault, the queue and the retained streams, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 50;

    private final EngineOptions options;
    private final EngineFaults faults;
    private final DelayedReports reports;
    private final Runnable crash;
    private final PrefixCache cache;
    private final Map<String, EngineStream> streams = new LinkedHashMap<>();
    private final PriorityQueue<Queued> queue =
            new PriorityQueue<>(Comparator.comparingInt(Queued::rank).thenComparingLong(Queued::arrival));
    private final List<Running> running = new ArrayList<>();
    private final AtomicLong generatedTokens = new AtomicLong();
    private final AtomicLong prefilledTokens = new AtomicLong();
    private final AtomicLong cachedTokens = new AtomicLong();
    private long arrivals;
    private volatile boolean stopped;
    private Thread thread;

    private record Queued(EngineStream stream, long arrival) {
        int rank() {
            return -stream.request().priority();
        }
    }

    private record Running(EngineStream stream, double prefilledAtMillis) {}

    BatchScheduler(EngineOptions options, EngineFaults faults, DelayedReports reports, Runnable crash) {
        this.options = options;
        this.faults = faults;
        this.reports = reports;
        this.crash = crash;
        this.cache = new PrefixCache(options.cacheTokens());
    }

    synchronized void start() {
        thread = Thread.ofPlatform().name("engine-batch").daemon().start(this::runLoop);
    }

    void stop() {
        stopped = true;
        synchronized (this) {
            notifyAll();
            streams.values().forEach(stream -> stream.end("stopped"));
        }
    }

    /** Queues a stream, or returns {@code false} if a stream with the same id exists. */
    synchronized boolean submit(EngineStream stream) {
        if (streams.putIfAbsent(stream.request().streamId(), stream) != null) {
            return false;
        }
        queue.add(new Queued(stream, arrivals++));
        reportLoad();
        notifyAll();
        return true;
    }

    /** Returns a retained stream, or {@code null} if there is none with this id. */
    synchronized EngineStream stream(String streamId) {
        return streams.get(streamId);
    }

    /** Cancels a stream, or returns {@code false} if there is none with this id. */
    synchronized boolean cancel(String streamId) {
        EngineStream stream = streams.get(streamId);
        if (stream == null) {
            return false;
        }
        stream.end("cancelled");
        removeEnded();
        return true;
    }

    synchronized Map<String, Object> stats() {
        Map<String, Object> stats = new LinkedHashMap<>();
        stats.put("generatedTokens", generatedTokens.get());
        stats.put("prefilledTokens", prefilledTokens.get());
        stats.put("cachedTokens", cachedTokens.get());
        stats.put("running", running.size());
        stats.put("queued", queue.size());
        stats.put("kept", streams.size());
        return stats;
    }

    private void runLoop() {
        long nextStepNanos = System.nanoTime();
        while (!stopped) {
            long stallMillis = faults.remainingStallMillis(Timing.monotonicMillis());
            if (stallMillis > 0) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(Math.min(stallMillis, MAX_WAIT_MILLIS)));
                continue;
            }
            int batchSize = awaitBatch();
            if (batchSize == 0) {
                nextStepNanos = System.nanoTime();
                continue;
            }
            nextStepNanos = Math.max(nextStepNanos, System.nanoTime()) + stepNanos(batchSize);
            while (!stopped && System.nanoTime() < nextStepNanos) {
                LockSupport.parkNanos(nextStepNanos - System.nanoTime());
            }
            step();
        }
    }

    /** Waits up to {@link #MAX_WAIT_MILLIS} for a running stream, and returns the number of running streams. */
    private synchronized int awaitBatch() {
        removeEnded();
        admitQueued();
        if (running.isEmpty()) {
            try {
                wait(MAX_WAIT_MILLIS);
            } catch (InterruptedException e) {
                stopped = true;
            }
            admitQueued();
        }
        return running.size();
    }

    private long stepNanos(int batchSize) {
        double millis =
                options.tokenLatencyMillis() * (1 + options.batchGrowth() * (batchSize - 1)) * faults.slowFactor();
        return (long) (millis * NANOS_PER_MILLI);
    }

    private synchronized void step() {
        // A stall may have been injected during the step.
        if (faults.remainingStallMillis(Timing.monotonicMillis()) > 0) {
            return;
        }
        long now = Timing.monotonicMillis();
        for (Running entry : running) {
            if (entry.prefilledAtMillis() <= now && entry.stream().generateNext()) {
                generatedTokens.incrementAndGet();
            }
        }
        removeEnded();
    }

    private void admitQueued() {
        while (running.size() < options.slots() && !queue.isEmpty()) {
            EngineStream stream = queue.remove().stream();
            if (faults.crashesOn(stream.request().prompt())) {
                crash.run();
                return;
            }
            running.add(new Running(stream, Timing.monotonicMillis() + prefillMillis(stream)));
            reportLoad();
        }
    }

    private double prefillMillis(EngineStream stream) {
        List<String> context = stream.request().contextTokens();
        PrefixCache.LookupResult lookup = cache.lookUpAndStore(context);
        reports.cacheChanged(Timing.monotonicMillis(), lookup.added(), lookup.evicted());
        int prefilled = context.size() - lookup.cachedTokens();
        prefilledTokens.addAndGet(prefilled);
        cachedTokens.addAndGet(lookup.cachedTokens());
        return prefilled * options.prefillMicros() * faults.slowFactor() / MICROS_PER_MILLI;
    }

    private void removeEnded() {
        long now = Timing.monotonicMillis();
        streams.values().removeIf(stream -> {
            boolean expired = stream.isUnreadFor(options.unreadRetentionMillis(), now);
            if (expired) {
                stream.end("abandoned");
            }
            return expired;
        });
        boolean changed = queue.removeIf(entry -> entry.stream().hasEnded());
        changed |= running.removeIf(entry -> entry.stream().hasEnded());
        if (changed) {
            reportLoad();
        }
    }

    private void reportLoad() {
        reports.loadChanged(Timing.monotonicMillis(), running.size(), queue.size());
    }
}
