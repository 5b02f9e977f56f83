package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import org.amaranthlock.standin.fleet.EngineBatch.KvCopy;
import org.amaranthlock.standin.fleet.EngineBatch.Sequence;

/** Runs an {@link EngineBatch} in real time; safe for use by several threads. */
final class FleetEngine {
    private static final double NANOS_PER_MILLI = 1e6;

    private final EngineConfig config;
    private final EngineBatch batch;
    private boolean stopped;

    /** A request at the engine, and the events that it has made. */
    static final class Generation implements EngineBatch.Listener {
        private static final int END_OF_STREAM = -1;

        private final BlockingQueue<Integer> events = new LinkedBlockingQueue<>();
        private final Runnable onAdmitted;
        private Sequence sequence;

        private Generation(Runnable onAdmitted) {
            this.onAdmitted = onAdmitted;
        }

        /** Waits for the next event; empty once the last one has been taken. */
        Optional<Integer> next() throws InterruptedException {
            int number = events.take();
            return number == END_OF_STREAM ? Optional.empty() : Optional.of(number);
        }

        @Override
        public void admitted() {
            onAdmitted.run();
        }

        @Override
        public void event(int number) {
            events.add(number);
        }

        @Override
        public void finished() {
            events.add(END_OF_STREAM);
        }
    }

    FleetEngine(EngineConfig shape) {
        this.config = shape;
        this.batch = new EngineBatch(shape);
    }

    void start(String name) {
        Thread.ofVirtual().name(name).start(this::runSteps);
    }

    synchronized void stop() {
        stopped = true;
        notifyAll();
    }

    /** Queues a request; empty if it is refused. */
    synchronized Optional<Generation> submit(EngineRequest work, Optional<String> copyId, Runnable onAdmitted) {
        Generation generation = new Generation(onAdmitted);
        Optional<Sequence> run = copyId.isPresent()
                ? batch.resumeFromCopy(work, copyId.get(), generation)
                : batch.submit(work, generation);
        run.ifPresent(queued -> generation.sequence = queued);
        notifyAll();
        return run.map(_ -> generation);
    }

    synchronized void cancel(Generation generation) {
        batch.cancel(generation.sequence);
    }

    synchronized boolean keepCopy(String id, KvCopy copy) {
        return batch.storeCopy(id, copy);
    }

    synchronized void dropCopy(String id) {
        batch.removeCopy(id);
    }

    synchronized boolean keepsCopies() {
        return batch.copyCount() > 0;
    }

    /** Returns what is copied to another engine while a request runs. */
    synchronized KvCopy copyOf(Generation generation) {
        return new KvCopy(generation.sequence.kvTokens(), generation.sequence.eventCount());
    }

    /** Returns the answer to a call for its report. */
    synchronized ObjectNode report() {
        ObjectNode report = JsonNodeFactory.instance
                .objectNode()
                .put("stage", "both")
                .put("queued", batch.queuedCount())
                .put("running", batch.runningSequences().size())
                .put("kv_used", batch.pinnedTokens())
                .put("kv_total", config.kvCapacityTokens());
        ArrayNode runs = report.putArray("runs");
        for (Sequence run : batch.runningSequences()) {
            if (run.kvTokens() >= run.request().promptTokens()) {
                runs.addArray()
                        .add(run.request().id())
                        .add(run.kvTokens())
                        .add(run.eventCount())
                        .add(run.request().urgency());
            }
        }
        return report;
    }

    private void runSteps() {
        long stepEndNanos = System.nanoTime();
        while (awaitWork()) {
            double stepMillis;
            synchronized (this) {
                stepMillis = batch.beginStep();
            }
            stepEndNanos = Math.max(stepEndNanos, System.nanoTime()) + (long) (stepMillis * NANOS_PER_MILLI);
            for (long left = stepEndNanos - System.nanoTime(); left > 0; left = stepEndNanos - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
            synchronized (this) {
                batch.endStep();
            }
        }
    }

    private synchronized boolean awaitWork() {
        while (batch.isIdle() && !stopped) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return !stopped;
    }
}
