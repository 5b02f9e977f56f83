package org.amaranthlock.bench.forwarding;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.bench.sim.VirtualTimeScheduler;
import org.amaranthlock.coordination.forwarding.EngineReport;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.standin.fleet.EngineBatch;
import org.amaranthlock.standin.fleet.EngineBatch.KvCopy;
import org.amaranthlock.standin.fleet.EngineBatch.Sequence;
import org.amaranthlock.standin.fleet.EngineConfig;
import org.amaranthlock.standin.fleet.EngineRequest;

/** Engine in virtual time; crashes with or without resetting its connections and restarts without any state. */
final class SimulatedStreamingEngine {
    /** Interval of the copies of a sequence's KV cache; the specification says several per second. */
    private static final double COPY_INTERVAL_MILLIS = 250;

    private EntryTarget target;
    private final EngineConfig config;
    private final VirtualTimeScheduler scheduler;
    private final Map<Sequence, SequenceListener> listeners = new LinkedHashMap<>();
    private EngineBatch batch;
    private boolean alive = true;
    private boolean crashedSilently;
    private boolean stepping;
    private long prefilledTokens;
    private long copiedTokens;

    /** Receives the output of a sequence. */
    interface SequenceListener {
        void event(int number);

        void finished();

        /** Called when the engine crashes and resets the connection. */
        void reset();
    }

    SimulatedStreamingEngine(EntryTarget target, EngineConfig config, VirtualTimeScheduler scheduler) {
        this.target = target;
        this.config = config;
        this.scheduler = scheduler;
        this.batch = new EngineBatch(config);
    }

    EntryTarget target() {
        return target;
    }

    boolean alive() {
        return alive;
    }

    /** Returns whether the engine has crashed silently and has not restarted: connections to it time out. */
    boolean unresponsive() {
        return !alive && crashedSilently;
    }

    long prefilledTokens() {
        return prefilledTokens + batch.prefilledTokens();
    }

    long copiedTokens() {
        return copiedTokens;
    }

    /** Returns a report that leaves out the sequences still in prefill. */
    EngineReport report() {
        Map<String, Long> events = new LinkedHashMap<>();
        for (Sequence sequence : batch.runningSequences()) {
            if (sequence.kvTokens() >= sequence.request().promptTokens()) {
                events.put(sequence.request().id(), (long) sequence.eventCount());
            }
        }
        return new EngineReport(batch.queuedCount(), events);
    }

    /** Returns the number of queued and running sequences. */
    int load() {
        return batch.queuedCount() + batch.runningSequences().size();
    }

    /** Accepts a request and returns its sequence, or empty if the request is rejected. */
    Optional<Sequence> submit(
            EngineRequest request,
            boolean resumeFromCopy,
            Optional<SimulatedStreamingEngine> backup,
            SequenceListener listener) {
        Sequence[] sequence = new Sequence[1];
        EngineBatch.Listener output = new EngineBatch.Listener() {
            @Override
            public void admitted() {
                backup.ifPresent(engine -> scheduleCopy(sequence[0], engine));
            }

            @Override
            public void event(int number) {
                listener.event(number);
            }

            @Override
            public void finished() {
                listeners.remove(sequence[0]);
                backup.ifPresent(engine -> engine.batch.removeCopy(request.id()));
                listener.finished();
            }
        };
        Optional<Sequence> queued =
                resumeFromCopy ? batch.resumeFromCopy(request, request.id(), output) : batch.submit(request, output);
        queued.ifPresent(accepted -> {
            sequence[0] = accepted;
            listeners.put(accepted, listener);
            startStepping();
        });
        return queued;
    }

    void cancel(Sequence sequence) {
        listeners.remove(sequence);
        batch.cancel(sequence);
    }

    /** Crashes the engine; after a silent crash its connections stay open without a response. */
    void crash(boolean silently, long downMillis) {
        alive = false;
        crashedSilently = silently;
        stepping = false;
        List<SequenceListener> lost = List.copyOf(listeners.values());
        listeners.clear();
        prefilledTokens += batch.prefilledTokens();
        batch = new EngineBatch(config);
        if (!silently) {
            lost.forEach(SequenceListener::reset);
        }
        scheduler.scheduleAfterMillis(downMillis, this::restart);
    }

    private void restart() {
        alive = true;
        // The later start time lets hosts recognize the engine as a new incarnation.
        target = new EntryTarget(
                target.id(),
                target.service(),
                target.address(),
                target.port(),
                target.failureDomain(),
                target.slots(),
                false,
                0,
                target.startedAtMillis() + 1,
                target.version());
    }

    /**
     * Copies the new KV cache of a sequence to another engine. Returns false if the sequence has ended or is still in
     * prefill, or if the other engine is down or has no memory left.
     */
    boolean copyTo(Sequence sequence, SimulatedStreamingEngine backup) {
        if (!listeners.containsKey(sequence)
                || sequence.kvTokens() < sequence.request().promptTokens()
                || !backup.alive) {
            return false;
        }
        int previousTokens = backup.batch.copyTokens(sequence.request().id());
        boolean stored =
                backup.batch.storeCopy(sequence.request().id(), new KvCopy(sequence.kvTokens(), sequence.eventCount()));
        copiedTokens += stored ? sequence.kvTokens() - previousTokens : 0;
        return stored;
    }

    void removeCopy(String id) {
        batch.removeCopy(id);
    }

    private void scheduleCopy(Sequence sequence, SimulatedStreamingEngine backup) {
        scheduler.scheduleAfterMillis(COPY_INTERVAL_MILLIS, () -> {
            if (!listeners.containsKey(sequence)) {
                return;
            }
            copyTo(sequence, backup);
            scheduleCopy(sequence, backup);
        });
    }

    private void startStepping() {
        if (!stepping) {
            stepping = true;
            step(batch);
        }
    }

    private void step(EngineBatch stepped) {
        if (stepped != batch || stepped.isIdle()) {
            // A batch lost in a crash must not stop the steps of the batch that replaced it.
            stepping = stepped == batch ? false : stepping;
            return;
        }
        scheduler.scheduleAfterMillis(stepped.beginStep(), () -> {
            if (stepped == batch) {
                stepped.endStep();
                step(stepped);
            }
        });
    }
}
