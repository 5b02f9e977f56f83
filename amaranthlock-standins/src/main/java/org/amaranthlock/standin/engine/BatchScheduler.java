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
 * Continuous batching: one thread gives every running stream one token per step.
 *
 * <p>A step lasts longer the more streams run. A stream joins the batch when a slot is free, highest priority first,
 * and yields tokens after its prefill time.
 */
final class BatchScheduler {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    /** Longest wait between two looks at stall, queue and kept streams, in milliseconds. */
    private static final long MAX_IDLE_MILLIS = 50;

    private final EngineOptions options;
    private final EngineFaults faults;
    private final LaggingReports reports;
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

    private record Running(EngineStream stream, double readyAtMillis) {}

    BatchScheduler(EngineOptions options, EngineFaults faults, LaggingReports reports, Runnable crash) {
        this.options = options;
        this.faults = faults;
        this.reports = reports;
        this.crash = crash;
        this.cache = new PrefixCache(options.cacheTokens());
    }

    synchronized void start() {
        thread = Thread.ofPlatform().name("engine-batch").daemon().start(this::run);
    }

    void stop() {
        stopped = true;
        synchronized (this) {
            notifyAll();
            streams.values().forEach(stream -> stream.end("stopped"));
        }
    }

    /** Queues a stream; false if there is one with the same id. */
    synchronized boolean submit(EngineStream stream) {
        if (streams.putIfAbsent(stream.request().streamId(), stream) != null) {
            return false;
        }
        queue.add(new Queued(stream, arrivals++));
        reportLoad();
        notifyAll();
        return true;
    }

    /** Returns a stream that is still kept, or null. */
    synchronized EngineStream stream(String streamId) {
        return streams.get(streamId);
    }

    /** Cancels a stream; false if it is not known. */
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

    private void run() {
        long nextStepNanos = System.nanoTime();
        while (!stopped) {
            long stall = faults.stallLeftMillis(Timing.monotonicMillis());
            if (stall > 0) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(Math.min(stall, MAX_IDLE_MILLIS)));
                continue;
            }
            int batch = awaitWork();
            if (batch == 0) {
                nextStepNanos = System.nanoTime();
                continue;
            }
            nextStepNanos = Math.max(nextStepNanos, System.nanoTime()) + stepNanos(batch);
            while (!stopped && System.nanoTime() < nextStepNanos) {
                LockSupport.parkNanos(nextStepNanos - System.nanoTime());
            }
            step();
        }
    }

    private synchronized int awaitWork() {
        removeEnded();
        admit();
        if (running.isEmpty()) {
            try {
                wait(MAX_IDLE_MILLIS);
            } catch (InterruptedException e) {
                stopped = true;
            }
            admit();
        }
        return running.size();
    }

    private long stepNanos(int batch) {
        double millis = options.paceMillis() * (1 + options.batchGrowth() * (batch - 1)) * faults.slowFactor();
        return (long) (millis * NANOS_PER_MILLI);
    }

    private synchronized void step() {
        if (faults.stallLeftMillis(Timing.monotonicMillis()) > 0) {
            return;
        }
        long now = Timing.monotonicMillis();
        for (Running entry : running) {
            if (entry.readyAtMillis() <= now && entry.stream().generate()) {
                generatedTokens.incrementAndGet();
            }
        }
        removeEnded();
    }

    private void admit() {
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
        PrefixCache.Use use = cache.use(context);
        reports.cacheChanged(Timing.monotonicMillis(), use.added(), use.evicted());
        int prefilled = context.size() - use.cachedTokens();
        prefilledTokens.addAndGet(prefilled);
        cachedTokens.addAndGet(use.cachedTokens());
        return prefilled * options.prefillMicros() * faults.slowFactor() / MICROS_PER_MILLI;
    }

    private void removeEnded() {
        long now = Timing.monotonicMillis();
        streams.values().removeIf(stream -> {
            boolean expired = stream.unreadFor(options.keepMillis(), now);
            if (expired) {
                stream.end("abandoned");
            }
            return expired;
        });
        boolean changed = queue.removeIf(entry -> entry.stream().ended());
        changed |= running.removeIf(entry -> entry.stream().ended());
        if (changed) {
            reportLoad();
        }
    }

    private void reportLoad() {
        reports.loadChanged(Timing.monotonicMillis(), running.size(), queue.size());
    }
}
