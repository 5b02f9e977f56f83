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

/** Runs an {@link EngineBatch} in real time. Thread-safe. */
final class FleetEngine {
    private static final double NANOS_PER_MILLI = 1e6;

    private final EngineConfig config;
    private final EngineBatch batch;
    private boolean stopped;

    /** Request at the engine, with a queue of the events generated for it. */
    static final class Generation implements EngineBatch.Listener {
        private static final int END_OF_STREAM = -1;

        private final BlockingQueue<Integer> events = new LinkedBlockingQueue<>();
        private final Runnable admissionCallback;
        private Sequence sequence;

        private Generation(Runnable admissionCallback) {
            this.admissionCallback = admissionCallback;
        }

        /** Waits for the number of the next event; returns empty after the last one. */
        Optional<Integer> next() throws InterruptedException {
            int number = events.take();
            return number == END_OF_STREAM ? Optional.empty() : Optional.of(number);
        }

        @Override
        public void admitted() {
            admissionCallback.run();
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

    FleetEngine(EngineConfig config) {
        this.config = config;
        this.batch = new EngineBatch(config);
    }

    void start(String name) {
        Thread.ofVirtual().name(name).start(this::runSteps);
    }

    synchronized void stop() {
        stopped = true;
        notifyAll();
    }

    /** Queues a request, which resumes from the copy if an id is given; returns empty if the engine rejects it. */
    synchronized Optional<Generation> submit(
            EngineRequest request, Optional<String> copyId, Runnable admissionCallback) {
        Generation generation = new Generation(admissionCallback);
        Optional<Sequence> sequence = copyId.isPresent()
                ? batch.resumeFromCopy(request, copyId.get(), generation)
                : batch.submit(request, generation);
        sequence.ifPresent(queued -> generation.sequence = queued);
        notifyAll();
        return sequence.map(_ -> generation);
    }

    synchronized void cancel(Generation generation) {
        batch.cancel(generation.sequence);
    }

    synchronized boolean storeCopy(String id, KvCopy copy) {
        return batch.storeCopy(id, copy);
    }

    synchronized void removeCopy(String id) {
        batch.removeCopy(id);
    }

    synchronized boolean holdsCopies() {
        return batch.copyCount() > 0;
    }

    /** Returns the current state of a running request, to be copied to another engine. */
    synchronized KvCopy copyOf(Generation generation) {
        return new KvCopy(generation.sequence.kvTokens(), generation.sequence.eventCount());
    }

    /** Returns the load report, which lists the running requests whose prompt is prefilled. */
    synchronized ObjectNode report() {
        ObjectNode report = JsonNodeFactory.instance
                .objectNode()
                .put("stage", "both")
                .put("queued", batch.queuedCount())
                .put("running", batch.runningSequences().size())
                .put("kv_used", batch.pinnedTokens())
                .put("kv_total", config.kvCapacityTokens());
        ArrayNode reportedRuns = report.putArray("runs");
        for (Sequence sequence : batch.runningSequences()) {
            if (sequence.kvTokens() >= sequence.request().promptTokens()) {
                reportedRuns
                        .addArray()
                        .add(sequence.request().id())
                        .add(sequence.kvTokens())
                        .add(sequence.eventCount())
                        .add(sequence.request().priority());
            }
        }
        return report;
    }

    /** Returns the list of the prompt parts that the KV cache holds. */
    synchronized ObjectNode heldParts() {
        ObjectNode list = JsonNodeFactory.instance.objectNode();
        ArrayNode held = list.putArray("held");
        batch.cachedParts()
                .forEach((part, tokens) ->
                        held.addArray().add("").add(part).add(tokens).add("m"));
        return list;
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
