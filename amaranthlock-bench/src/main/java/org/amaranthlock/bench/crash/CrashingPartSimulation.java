package org.amaranthlock.bench.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.amaranthlock.bench.sim.VirtualTimeScheduler;
import org.amaranthlock.coordination.promptpart.PromptPartGuard;
import org.amaranthlock.coordination.promptpart.PromptPartListener;
import org.amaranthlock.coordination.promptpart.PromptPartReport;
import org.amaranthlock.coordination.promptpart.RequestParts;
import org.amaranthlock.coordination.promptpart.TrialDecision;
import org.amaranthlock.model.PromptPartId;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Hosts with the production {@link PromptPartGuard}, engines that crash when they begin to answer a request with a certain
 * part, and requests of one account: crashing ones, sound ones that share the first part with them, and others.
 */
public final class CrashingPartSimulation {
    private static final long RUN_MILLIS = 60_000;
    private static final long CRASHING_FROM_MILLIS = 4_000;
    private static final double PREFILL_MILLIS = 1_200;
    private static final double ENGINE_RESTART_MILLIS = 3_000;

    /** Time from the loss of a connection until its probe has shown that the engine crashed. */
    private static final double PROBE_MILLIS = 24;

    /** Time after the fifth crash from which on hardly any request with the part may be sent. */
    private static final long STABLE_MILLIS = 4_000;

    /** Time in which the other hosts can say that a suspect part is sound. */
    private static final double BLAMED_GRACE_MILLIS = 100;

    private static final int CRASHES_UNTIL_COUNTED = 5;
    private static final int MAX_ATTEMPTS = 5;
    private static final int DOMAINS = 3;
    private static final int REPEAT_MILLIS = 2_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MILLIS_PER_MINUTE = 60_000;

    /** Fraction of the sound requests that share the first part with the crashing ones. */
    private static final double SHARING_FRACTION = 0.4;

    private static final PromptPartId CRASHING = new PromptPartId("crashing");
    private static final PromptPartId SHARED = new PromptPartId("shared");

    private final CrashScenario scenario;
    private final UniformRandomProvider random;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private int crashes;
    private long fifthCrashMillis = Long.MAX_VALUE / 2; // half, so that a sum does not overflow
    private int sentAfterFifth;
    private int soundRejected;
    private int soundRequests;
    private long soundDelayMillis;
    private long longestSoundDelayMillis;
    private long reports;
    private int cancelled;

    /** Creates a simulation; the same seed repeats it. */
    public CrashingPartSimulation(CrashScenario scenario, long seed) {
        this.scenario = Objects.requireNonNull(scenario, "scenario");
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /** Runs the simulation. */
    public CrashResult run() {
        for (int i = 0; i < scenario.hosts(); i++) {
            hosts.add(new Host("host-" + i));
        }
        for (int i = 0; i < scenario.engines(); i++) {
            engines.add(new Engine(i % DOMAINS));
        }
        hosts.forEach(Host::scheduleRepeat);
        scheduleRequest();
        if (scenario.otherCrashesPerMinute() > 0) {
            scheduleOtherCrash();
        }
        if (scenario.domainFails()) {
            scheduler.scheduleAfterMillis(RUN_MILLIS / 2.0, this::failDomain);
        }
        scheduler.runUntilMillis(RUN_MILLIS);
        return new CrashResult(
                crashes,
                sentAfterFifth,
                soundRejected,
                soundRequests,
                soundDelayMillis / (double) Math.max(1, soundRequests),
                longestSoundDelayMillis,
                cancelled,
                reports);
    }

    private void scheduleRequest() {
        scheduler.scheduleAfterMillis(exponential(MILLIS_PER_SECOND / scenario.requestsPerSecond()), () -> {
            boolean crashing =
                    scheduler.nowMillis() >= CRASHING_FROM_MILLIS && random.nextDouble() < scenario.crashingFraction();
            Host host = hosts.get(random.nextInt(hosts.size()));
            new Request(host, crashing).start();
            scheduleRequest();
        });
    }

    private void scheduleOtherCrash() {
        scheduler.scheduleAfterMillis(exponential(MILLIS_PER_MINUTE / scenario.otherCrashesPerMinute()), () -> {
            engines.get(random.nextInt(engines.size())).crash();
            scheduleOtherCrash();
        });
    }

    private void failDomain() {
        engines.stream().filter(engine -> engine.domain == 0).forEach(Engine::crash);
    }

    private double exponential(double meanMillis) {
        return -Math.log(1 - random.nextDouble()) * meanMillis;
    }

    private final class Host {
        private final PromptPartGuard guard;
        private boolean reportPending;

        private Host(String name) {
            this.guard = new PromptPartGuard(name, new ReportingListener(this));
        }

        private void scheduleReport() {
            if (!reportPending) {
                reportPending = true;
                scheduler.scheduleAfterMillis(0, () -> {
                    reportPending = false;
                    guard.takeChanges(scheduler.nowMillis()).ifPresent(this::broadcast);
                });
            }
        }

        private void scheduleRepeat() {
            scheduler.scheduleAfterMillis(REPEAT_MILLIS, () -> {
                guard.repeatTrials();
                guard.fullReport(scheduler.nowMillis())
                        .ifPresent(report -> deliver(hosts.get(random.nextInt(hosts.size())), report));
                scheduleRepeat();
            });
        }

        private void broadcast(PromptPartReport report) {
            hosts.forEach(other -> deliver(other, report));
        }

        private void deliver(Host receiver, PromptPartReport report) {
            if (receiver == this) {
                return;
            }
            reports++;
            if (random.nextDouble() >= scenario.lossFraction()) {
                scheduler.scheduleAfterMillis(
                        random.nextDouble() * scenario.maxDelayMillis(),
                        () -> receiver.guard.updateRemote(report, scheduler.nowMillis()));
            }
        }
    }

    private static final class ReportingListener implements PromptPartListener {
        private final Host host;

        private ReportingListener(Host host) {
            this.host = host;
        }

        @Override
        public void onSuspected(PromptPartId part, int crashes, Set<PromptPartId> companions) {
            // Nothing is logged.
        }

        @Override
        public void onCleared(PromptPartId part) {
            // Nothing is logged.
        }

        @Override
        public void onReportDue() {
            host.scheduleReport();
        }
    }

    private final class Engine {
        private final int domain;
        private final Set<Request> prefilling = new HashSet<>();
        private boolean running = true;

        private Engine(int domain) {
            this.domain = domain;
        }

        private void crash() {
            if (!running) {
                return;
            }
            running = false;
            List<Request> lost = List.copyOf(prefilling);
            prefilling.clear();
            lost.forEach(Request::onLost);
            scheduler.scheduleAfterMillis(ENGINE_RESTART_MILLIS, () -> running = true);
        }
    }

    private final class Request {
        private final boolean crashing;
        private final RequestParts parts;
        private final long arrivedAtMillis = scheduler.nowMillis();
        private int attempts;
        private int currentAttempt;

        private Request(Host host, boolean crashing) {
            this.crashing = crashing;
            this.parts = host.guard.request(partIds());
            parts.onBlamed(nowMillis -> scheduler.scheduleAfterMillis(BLAMED_GRACE_MILLIS, this::cancelIfBlamed));
            soundRequests += crashing ? 0 : 1;
        }

        private List<PromptPartId> partIds() {
            if (crashing) {
                return List.of(SHARED, CRASHING);
            }
            boolean sharing = random.nextDouble() < SHARING_FRACTION;
            return List.of(sharing ? SHARED : new PromptPartId("own-" + random.nextLong()));
        }

        private void start() {
            switch (parts.decide(scheduler.nowMillis())) {
                case TrialDecision.Granted _ -> send();
                case TrialDecision.Wait wait -> scheduler.scheduleAfterMillis(wait.millis(), this::start);
                case TrialDecision.Rejected _ -> end(true);
            }
        }

        private void send() {
            List<Engine> running =
                    engines.stream().filter(engine -> engine.running).toList();
            if (running.isEmpty() || attempts >= MAX_ATTEMPTS) {
                end(false);
                return;
            }
            if (!crashing && attempts == 0) {
                long delayMillis = scheduler.nowMillis() - arrivedAtMillis;
                soundDelayMillis += delayMillis;
                longestSoundDelayMillis = Math.max(longestSoundDelayMillis, delayMillis);
            }
            if (crashing && scheduler.nowMillis() > fifthCrashMillis + STABLE_MILLIS) {
                sentAfterFifth++;
            }
            int attempt = ++attempts;
            currentAttempt = attempt;
            Engine engine = running.get(random.nextInt(running.size()));
            engine.prefilling.add(this);
            parts.recordSend(attempt, scheduler.nowMillis());
            scheduler.scheduleAfterMillis(PREFILL_MILLIS * (0.5 + random.nextDouble()), () -> {
                if (currentAttempt == attempt && engine.prefilling.contains(this)) {
                    onPrefilled(engine);
                }
            });
        }

        private void onPrefilled(Engine engine) {
            if (crashing) {
                crashes++;
                if (crashes == CRASHES_UNTIL_COUNTED) {
                    fifthCrashMillis = scheduler.nowMillis();
                }
                engine.crash();
                return;
            }
            engine.prefilling.remove(this);
            parts.recordBegun(scheduler.nowMillis());
            end(false);
        }

        private void onLost() {
            int lost = currentAttempt;
            currentAttempt = 0;
            parts.recordEnd();
            scheduler.scheduleAfterMillis(PROBE_MILLIS, () -> {
                parts.recordCrash(lost, scheduler.nowMillis());
                start();
            });
        }

        private void cancelIfBlamed() {
            if (currentAttempt > 0 && parts.isBlamed(scheduler.nowMillis())) {
                currentAttempt = 0;
                engines.forEach(engine -> engine.prefilling.remove(this));
                parts.recordEnd();
                cancelled++;
                start();
            }
        }

        private void end(boolean rejected) {
            soundRejected += rejected && !crashing ? 1 : 0;
            parts.release();
        }
    }
}
