package org.amaranthlock.bench.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.amaranthlock.bench.sim.VirtualTime;
import org.amaranthlock.coordination.forwarding.Attempt;
import org.amaranthlock.coordination.forwarding.EngineReport;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.ForwardedRequest;
import org.amaranthlock.coordination.forwarding.ForwardingDecision;
import org.amaranthlock.coordination.forwarding.ForwardingPort;
import org.amaranthlock.coordination.forwarding.KvCacheCopy;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.RequestAttributes;
import org.amaranthlock.coordination.forwarding.Route;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.amaranthlock.coordination.forwarding.StreamEvent;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.standin.fleet.EngineBatch.Run;
import org.amaranthlock.standin.fleet.EngineWork;
import org.amaranthlock.standin.fleet.EngineWork.PromptPart;

/** One stream between the real decision core and modelled engines. */
final class ModelledStream implements ForwardingPort {
    /** Time after which a connection to a dark engine is given up; as in the daemon. */
    private static final double CONNECT_TIMEOUT_MILLIS = 250;

    /** Time after which a probe that gets no reply has failed; as in the daemon. */
    private static final double PROBE_TIMEOUT_MILLIS = 180;

    /** Tokens in an event; as on the sheets. */
    private static final int EVENT_TOKENS = 5;

    private static final TargetResponse HEAD = new TargetResponse(200, List.of(), true, false, new byte[0]);
    private static final TargetResponse NOT_RUN = new TargetResponse(503, List.of(), true, true, new byte[0]);

    private final ModelledHost host;
    private final Map<TargetId, ModelledEngine> engines;
    private final VirtualTime time;
    private final StreamRecord record;
    private final LongConsumer onRefused;
    private final String id;
    private final List<PromptPart> prompt;
    private final int events;
    private final ForwardedRequest life;
    private int current;
    private Run run;
    private ModelledEngine runsAt;
    private long wakeAtMillis = Long.MAX_VALUE;

    ModelledStream(
            String id,
            List<PromptPart> prompt,
            int events,
            Route route,
            ServiceDefinition service,
            ModelledHost host,
            Map<TargetId, ModelledEngine> engines,
            VirtualTime time,
            StreamRecord record,
            LongConsumer onRefused) {
        this.id = id;
        this.prompt = List.copyOf(prompt);
        this.events = events;
        this.host = Objects.requireNonNull(host, "host");
        this.engines = Objects.requireNonNull(engines, "engines");
        this.time = Objects.requireNonNull(time, "time");
        this.record = Objects.requireNonNull(record, "record");
        this.onRefused = Objects.requireNonNull(onRefused, "refused");
        long tokens = prompt.stream().mapToInt(PromptPart::tokens).sum() + (long) events * EVENT_TOKENS;
        RequestAttributes call =
                new RequestAttributes(id, OptionalLong.empty(), Optional.empty(), tokens, id.hashCode());
        this.life = new ForwardedRequest(
                call, route, service, Optional.empty(), host.picker(), host.budget(), host.crashes(), this);
    }

    void start() {
        life.start(time.nowMillis());
    }

    @Override
    public void send(Attempt attempt) {
        current = attempt.number();
        run = null;
        ModelledEngine engine = engines.get(attempt.target().id());
        time.afterMillis(delayMillis(engine), () -> {
            if (current == attempt.number()) {
                arrive(attempt, engine);
            }
        });
    }

    @Override
    public void cancel(Attempt attempt) {
        current = 0;
        Run cancelled = run;
        ModelledEngine engine = runsAt;
        if (cancelled != null) {
            time.afterMillis(delayMillis(engine), () -> engine.cancel(cancelled));
        }
    }

    @Override
    public void probe(Attempt attempt) {
        ModelledEngine engine = engines.get(attempt.target().id());
        time.afterMillis(
                probeMillis(engine), () -> life.onProbeResult(attempt.number(), engine.alive(), time.nowMillis()));
    }

    @Override
    public void checkCrash(Attempt attempt, long delayMillis) {
        ModelledEngine engine = engines.get(attempt.target().id());
        time.afterMillis(
                delayMillis + probeMillis(engine),
                () -> life.onCrashCheckResult(attempt, engine.alive(), time.nowMillis()));
    }

    @Override
    public void copyKvCache(Attempt attempt, EntryTarget holder) {
        ModelledEngine engine = engines.get(attempt.target().id());
        Run copied = run;
        time.afterMillis(2 * delayMillis(engine), () -> {
            boolean made = copied != null && engine.copyTo(copied, engines.get(holder.id()));
            life.onCopyCompleted(attempt, holder, made ? Optional.of(id) : Optional.empty(), time.nowMillis());
        });
    }

    @Override
    public void freeCopy(Attempt attempt, KvCacheCopy copy) {
        ModelledEngine holder = engines.get(copy.engine().id());
        time.afterMillis(delayMillis(holder), () -> holder.dropCopy(id));
    }

    @Override
    public void requestEngineReport(Attempt attempt) {
        ModelledEngine engine = engines.get(attempt.target().id());
        Optional<EngineReport> report = engine.alive() ? Optional.of(engine.report()) : Optional.empty();
        time.afterMillis(
                2 * delayMillis(engine), () -> life.onEngineReport(attempt.number(), report, time.nowMillis()));
    }

    @Override
    public void scheduleTimer(long atMillis) {
        if (wakeAtMillis <= atMillis && wakeAtMillis > time.nowMillis()) {
            return;
        }
        wakeAtMillis = atMillis;
        time.afterMillis(Math.max(1, atMillis - time.nowMillis()), () -> {
            if (wakeAtMillis == atMillis) {
                wakeAtMillis = Long.MAX_VALUE;
                life.onTimer(time.nowMillis());
            }
        });
    }

    @Override
    public void respond(TargetResponse answer) {
        // A whole answer in place of a stream is a failure; the record stays incomplete.
    }

    @Override
    public void reject(Rejection rejection) {
        rejection.retryAfterMillis().ifPresent(onRefused);
    }

    @Override
    public void openStream(TargetResponse head) {
        // The record counts events.
    }

    @Override
    public void writeEvents(byte[] written) {
        record.events(time.nowMillis());
    }

    @Override
    public void endStream() {
        record.completed();
    }

    @Override
    public void abort() {
        // The record stays incomplete.
    }

    @Override
    public void recordDecision(ForwardingDecision decision) {
        if (decision.step().equals("lost")) {
            record.lost(time.nowMillis());
        }
        host.loadChanged();
    }

    private void arrive(Attempt attempt, ModelledEngine engine) {
        int number = attempt.number();
        if (!engine.alive()) {
            double noticed = engine.dark() ? CONNECT_TIMEOUT_MILLIS : delayMillis(engine);
            time.afterMillis(noticed, () -> life.onNotSent(number, "connect", time.nowMillis()));
            return;
        }
        int first = attempt.lastEventId().map(Long::intValue).orElse(-1) + 1;
        EngineWork work =
                new EngineWork(id, prompt, first, events, attempt.priority().orElse(5));
        Optional<ModelledEngine> holder = attempt.backupTarget().map(target -> engines.get(target.id()));
        Optional<Run> queued = engine.submit(
                work, attempt.resumeFrom().isPresent(), holder, new Receiver(number, delayMillis(engine)));
        if (queued.isEmpty()) {
            time.afterMillis(delayMillis(engine), () -> life.onResponse(number, NOT_RUN, time.nowMillis()));
            return;
        }
        run = queued.get();
        runsAt = engine;
    }

    private double probeMillis(ModelledEngine engine) {
        return engine.dark() ? PROBE_TIMEOUT_MILLIS : 2 * delayMillis(engine);
    }

    private double delayMillis(ModelledEngine engine) {
        return ForwardingRun.delayMillis(host.domain(), engine.target().failureDomain());
    }

    private final class Receiver implements ModelledEngine.Reception {
        private final int attempt;
        private final double delayMillis;
        private boolean opened;

        private Receiver(int attempt, double delayMillis) {
            this.attempt = attempt;
            this.delayMillis = delayMillis;
        }

        @Override
        public void event(int number) {
            time.afterMillis(delayMillis, () -> {
                if (!opened) {
                    opened = true;
                    life.onStreamOpened(attempt, HEAD, time.nowMillis());
                }
                life.onEvents(attempt, List.of(new StreamEvent(number, new byte[1])), time.nowMillis());
            });
        }

        @Override
        public void finished() {
            time.afterMillis(delayMillis, () -> life.onStreamEnded(attempt, time.nowMillis()));
        }

        @Override
        public void reset() {
            time.afterMillis(delayMillis, () -> life.onAttemptLost(attempt, "closed", time.nowMillis()));
        }
    }
}
