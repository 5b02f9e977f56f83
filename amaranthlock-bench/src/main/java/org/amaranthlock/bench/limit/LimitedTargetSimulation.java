package org.amaranthlock.bench.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.amaranthlock.bench.sim.VirtualTimeScheduler;
import org.amaranthlock.coordination.targetlimit.LimitListener;
import org.amaranthlock.coordination.targetlimit.LimitReport;
import org.amaranthlock.coordination.targetlimit.LimitStatement;
import org.amaranthlock.coordination.targetlimit.PermitDecision;
import org.amaranthlock.coordination.targetlimit.PermitRequest;
import org.amaranthlock.coordination.targetlimit.TargetIncarnation;
import org.amaranthlock.coordination.targetlimit.TargetPermits;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Hosts with the production permits, one target that names a limit, and clients that ask for more than it allows, half
 * of them for orders and half of them for lookups.
 */
public final class LimitedTargetSimulation {
    private static final long RUN_MILLIS = 60_000;

    /** Time until the hosts have shares, read the directory and know the limit. */
    private static final long JOIN_MILLIS = 10_000;

    private static final long WINDOW_MILLIS = 4_000;
    private static final double ALLOWED_FACTOR = 1.5;
    private static final double ALLOWED_EXTRA = 5;
    private static final double MAX_DELAY_MILLIS = 13;
    private static final long REPORT_INTERVAL_MILLIS = 1_500;

    /** Interval at which a host reports changes, which real hosts report at once. */
    private static final long CHANGE_INTERVAL_MILLIS = 100;

    private static final long QUERY_TIMEOUT_MILLIS = 150;
    private static final long RESTART_DELAY_MILLIS = 800;
    private static final long DIRECTORY_DELAY_MILLIS = 1_500;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final ServiceName SERVICE = new ServiceName("desks");
    private static final TargetIncarnation TARGET = new TargetIncarnation(new TargetId("desk-1"), 1, "10.0.0.1:80");

    private final LimitScenario scenario;
    private final UniformRandomProvider random;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final List<Host> hosts = new ArrayList<>();
    private final Deque<Long> window = new ArrayDeque<>();
    private int worstWindow;
    private long arrivalsAfterJoin;
    private final long[] asked = new long[PermitRequest.Priority.values().length];
    private final long[] sent = new long[PermitRequest.Priority.values().length];

    /** Creates a simulation; the same seed repeats it. */
    public LimitedTargetSimulation(LimitScenario scenario, long seed) {
        this.scenario = Objects.requireNonNull(scenario, "scenario");
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /** Runs the simulation. */
    public LimitResult run() {
        for (int i = 0; i < scenario.hosts(); i++) {
            hosts.add(new Host("host-" + i));
        }
        hosts.forEach(Host::start);
        hosts.getFirst().permits.observe(TARGET, SERVICE, new LimitStatement.Named(scenario.limitPerSecond()));
        scheduleCuts();
        scheduleRestarts();
        scheduleRequest();
        scheduler.runUntilMillis(RUN_MILLIS);
        double seconds = (RUN_MILLIS - JOIN_MILLIS) / MILLIS_PER_SECOND;
        return new LimitResult(
                worstWindow,
                ALLOWED_FACTOR * scenario.limitPerSecond() * WINDOW_MILLIS / MILLIS_PER_SECOND + ALLOWED_EXTRA,
                arrivalsAfterJoin / seconds / scenario.limitPerSecond(),
                servedFraction(PermitRequest.Priority.HIGH),
                servedFraction(PermitRequest.Priority.LOW));
    }

    private double servedFraction(PermitRequest.Priority priority) {
        return sent[priority.ordinal()] / (double) Math.max(1, asked[priority.ordinal()]);
    }

    private void scheduleCuts() {
        int cutCount = (int) (scenario.cutFraction() * scenario.hosts());
        scheduler.scheduleAfterMillis(RUN_MILLIS / 3.0, () -> setCut(cutCount, true));
        scheduler.scheduleAfterMillis(2 * RUN_MILLIS / 3.0, () -> setCut(cutCount, false));
    }

    private void setCut(int count, boolean cut) {
        hosts.subList(0, count).forEach(host -> host.cut = cut);
        hosts.forEach(Host::updateReachable);
    }

    private void scheduleRestarts() {
        for (int i = 0; i < scenario.restarts(); i++) {
            Host host = hosts.get(hosts.size() - 1 - i);
            double atMillis = JOIN_MILLIS + (RUN_MILLIS - JOIN_MILLIS) * (i + 0.5) / scenario.restarts();
            scheduler.scheduleAfterMillis(atMillis, host::stop);
            scheduler.scheduleAfterMillis(atMillis + RESTART_DELAY_MILLIS, host::start);
        }
    }

    private void scheduleRequest() {
        double delayMillis = -Math.log(1 - random.nextDouble()) / scenario.requestsPerSecond() * MILLIS_PER_SECOND;
        scheduler.scheduleAfterMillis(delayMillis, () -> {
            Host host = hosts.get(random.nextInt(hosts.size()));
            if (host.running) {
                host.request(random.nextBoolean() ? PermitRequest.Priority.HIGH : PermitRequest.Priority.LOW);
            }
            scheduleRequest();
        });
    }

    private void recordArrival() {
        long now = scheduler.nowMillis();
        window.addLast(now);
        while (now - window.peekFirst() >= WINDOW_MILLIS) {
            window.removeFirst();
        }
        if (now >= WINDOW_MILLIS) {
            worstWindow = Math.max(worstWindow, window.size());
        }
        arrivalsAfterJoin += now >= JOIN_MILLIS ? 1 : 0;
    }

    /** Delivers a message unless it is lost. */
    private void deliver(Host from, Host to, Runnable message) {
        if (random.nextDouble() >= scenario.lossFraction()) {
            scheduler.scheduleAfterMillis(random.nextDouble() * MAX_DELAY_MILLIS, () -> {
                if (to.running && from.reaches(to)) {
                    message.run();
                }
            });
        }
    }

    /** Host that sends a request whenever it has a permit, and rejects it otherwise. */
    private final class Host {
        private final String name;
        private TargetPermits permits;
        private LimitReport lastReport = LimitReport.EMPTY;
        private boolean running;
        private boolean cut;
        private int starts;

        private Host(String name) {
            this.name = name;
        }

        private void start() {
            running = true;
            int start = ++starts;
            lastReport = LimitReport.EMPTY;
            permits = new TargetPermits(
                    name,
                    this::ask,
                    LimitListener.none(),
                    scheduler::nowMillis,
                    RandomSource.SPLIT_MIX_64.create(random.nextLong()));
            permits.updateTargets(List.of(TARGET));
            updateReachable();
            scheduler.scheduleAfterMillis(DIRECTORY_DELAY_MILLIS, () -> {
                permits.updateHostCount(scenario.hosts());
                permits.onDirectoryRead();
            });
            scheduleReport(start, REPORT_INTERVAL_MILLIS, true);
            scheduleReport(start, CHANGE_INTERVAL_MILLIS, false);
        }

        private void stop() {
            running = false;
        }

        private boolean reaches(Host other) {
            return this == other || !cut && !other.cut;
        }

        private void updateReachable() {
            Set<String> names = new HashSet<>();
            for (Host host : hosts) {
                if (host != this && reaches(host)) {
                    names.add(host.name);
                }
            }
            permits.updateReachableHosts(names);
        }

        private void scheduleReport(int start, long intervalMillis, boolean always) {
            scheduler.scheduleAfterMillis(intervalMillis, () -> {
                if (running && start == starts) {
                    LimitReport report = permits.report();
                    long madeAtMillis = scheduler.nowMillis();
                    if (always || !report.equals(lastReport)) {
                        lastReport = report;
                        hosts.stream()
                                .filter(host -> host != this)
                                .forEach(host -> deliver(
                                        this, host, () -> host.permits.updateRemote(name, report, madeAtMillis)));
                    }
                    scheduleReport(start, intervalMillis, always);
                }
            });
        }

        private void request(PermitRequest.Priority priority) {
            asked[priority.ordinal()]++;
            if (permits.take(TARGET)) {
                send(priority);
                return;
            }
            permits.request(new PermitRequest(SERVICE, List.of(TARGET.id()), priority), (decision, _) -> {
                if (decision instanceof PermitDecision.Granted && permits.take(TARGET)) {
                    send(priority);
                }
            });
        }

        private void send(PermitRequest.Priority priority) {
            sent[priority.ordinal()]++;
            scheduler.scheduleAfterMillis(random.nextDouble() * MAX_DELAY_MILLIS, () -> {
                recordArrival();
                permits.observe(TARGET, SERVICE, new LimitStatement.Named(scenario.limitPerSecond()));
            });
        }

        private void ask(String hostName, PermitRequest request, Consumer<Optional<PermitDecision>> result) {
            Host issuer = hosts.stream()
                    .filter(host -> host.name.equals(hostName))
                    .findFirst()
                    .orElseThrow();
            boolean[] answered = {false};
            Consumer<Optional<PermitDecision>> once = decision -> {
                if (!answered[0]) {
                    answered[0] = true;
                    result.accept(decision);
                }
            };
            deliver(this, issuer, () -> {
                PermitDecision decision = issuer.permits.issue(request);
                deliver(issuer, this, () -> once.accept(Optional.of(decision)));
            });
            scheduler.scheduleAfterMillis(QUERY_TIMEOUT_MILLIS, () -> once.accept(Optional.empty()));
        }
    }
}
