package org.amaranthlock.bench.forwarding;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.bench.sim.VirtualTime;
import org.amaranthlock.coordination.forwarding.EngineReport;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.standin.fleet.EngineBatch;
import org.amaranthlock.standin.fleet.EngineBatch.Copy;
import org.amaranthlock.standin.fleet.EngineBatch.Run;
import org.amaranthlock.standin.fleet.EngineShape;
import org.amaranthlock.standin.fleet.EngineWork;

/** An engine in virtual time, which dies loudly or silently and comes back empty. */
final class ModelledEngine {
    /** Time between two copies of a run's memory; the pages say several per second. */
    private static final double COPY_MILLIS = 250;

    private EntryTarget target;
    private final EngineShape shape;
    private final VirtualTime time;
    private final Map<Run, Reception> runs = new LinkedHashMap<>();
    private EngineBatch batch;
    private boolean alive = true;
    private boolean silent;
    private boolean stepping;
    private long promptTokensRead;
    private long tokensCopied;

    /** Receives what a run produces. */
    interface Reception {
        void event(int number);

        void finished();

        /** The connection was reset. */
        void reset();
    }

    ModelledEngine(EntryTarget target, EngineShape shape, VirtualTime time) {
        this.target = target;
        this.shape = shape;
        this.time = time;
        this.batch = new EngineBatch(shape);
    }

    EntryTarget target() {
        return target;
    }

    boolean alive() {
        return alive;
    }

    /** Returns whether it is dead without resetting connections. */
    boolean dark() {
        return !alive && silent;
    }

    long promptTokensRead() {
        return promptTokensRead + batch.promptTokensRead();
    }

    long tokensCopied() {
        return tokensCopied;
    }

    EngineReport report() {
        Map<String, Long> events = new LinkedHashMap<>();
        for (Run run : batch.running()) {
            if (run.tokens() >= run.work().promptTokens()) {
                events.put(run.work().id(), (long) run.events());
            }
        }
        return new EngineReport(batch.queued(), events);
    }

    int load() {
        return batch.queued() + batch.running().size();
    }

    /** Takes a request; empty if it is refused. */
    Optional<Run> submit(EngineWork work, boolean fromCopy, Optional<ModelledEngine> holder, Reception reception) {
        Run[] run = new Run[1];
        EngineBatch.Output output = new EngineBatch.Output() {
            @Override
            public void admitted() {
                holder.ifPresent(engine -> copyLater(run[0], engine));
            }

            @Override
            public void event(int number) {
                reception.event(number);
            }

            @Override
            public void finished() {
                runs.remove(run[0]);
                holder.ifPresent(engine -> engine.batch.dropCopy(work.id()));
                reception.finished();
            }
        };
        Optional<Run> queued = fromCopy ? batch.submitFromCopy(work, work.id(), output) : batch.submit(work, output);
        queued.ifPresent(accepted -> {
            run[0] = accepted;
            runs.put(accepted, reception);
            startStepping();
        });
        return queued;
    }

    void cancel(Run run) {
        runs.remove(run);
        batch.cancel(run);
    }

    /** Dies; {@code dark} leaves connections open without an answer. */
    void die(boolean dark, long downMillis) {
        alive = false;
        silent = dark;
        stepping = false;
        List<Reception> lost = List.copyOf(runs.values());
        runs.clear();
        promptTokensRead += batch.promptTokensRead();
        batch = new EngineBatch(shape);
        if (!dark) {
            lost.forEach(Reception::reset);
        }
        time.afterMillis(downMillis, this::startAgain);
    }

    private void startAgain() {
        alive = true;
        target = new EntryTarget(
                target.id(),
                target.service(),
                target.address(),
                target.port(),
                target.failureDomain(),
                target.slots(),
                false,
                0,
                target.startedAtMillis() + 1);
    }

    /** Copies what is new of a run to another engine; false if the run or the room is missing. */
    boolean copyTo(Run run, ModelledEngine holder) {
        if (!runs.containsKey(run) || run.tokens() < run.work().promptTokens() || !holder.alive) {
            return false;
        }
        int before = holder.batch.copyTokens(run.work().id());
        boolean kept = holder.batch.keepCopy(run.work().id(), new Copy(run.tokens(), run.events()));
        tokensCopied += kept ? run.tokens() - before : 0;
        return kept;
    }

    void dropCopy(String id) {
        batch.dropCopy(id);
    }

    private void copyLater(Run run, ModelledEngine holder) {
        time.afterMillis(COPY_MILLIS, () -> {
            if (!runs.containsKey(run)) {
                return;
            }
            copyTo(run, holder);
            copyLater(run, holder);
        });
    }

    private void startStepping() {
        if (!stepping) {
            stepping = true;
            step(batch);
        }
    }

    private void step(EngineBatch stepped) {
        if (stepped != batch || stepped.idle()) {
            stepping = stepped == batch ? false : stepping;
            return;
        }
        time.afterMillis(stepped.beginStep(), () -> {
            if (stepped == batch) {
                stepped.endStep();
                step(stepped);
            }
        });
    }
}
