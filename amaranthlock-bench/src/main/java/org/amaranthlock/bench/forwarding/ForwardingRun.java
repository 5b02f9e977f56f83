package org.amaranthlock.bench.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.function.ToIntFunction;
import org.amaranthlock.bench.sim.VirtualTime;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.LoadSheddingPolicy;
import org.amaranthlock.coordination.forwarding.PlacementPolicy;
import org.amaranthlock.coordination.forwarding.Route;
import org.amaranthlock.coordination.forwarding.RouteKind;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.amaranthlock.coordination.forwarding.TargetTable;
import org.amaranthlock.coordination.forwarding.WeightedService;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.standin.fleet.EngineWork.PromptPart;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** One day of one placement with one seed. */
final class ForwardingRun {
    /** Time within which a first event is on time, as on the sheets. */
    static final long GOAL_MILLIS = 4_500;

    private static final long TIMEOUT_MILLIS = 25_000;
    private static final int MAX_ATTEMPTS = 5;
    private static final int MAX_CONNECTIONS = 360;
    private static final int CLIENT_RETRIES = 1;
    private static final double IN_DOMAIN_MILLIS = 0.1;
    private static final double BETWEEN_DOMAINS_MILLIS = 12;

    /** Time between two reports that baselines see, and their age when they arrive. */
    private static final double REPORT_EVERY_MILLIS = 500;

    private static final double REPORT_AGE_MILLIS = 300;
    /** Time until hosts know that an engine has started again. */
    private static final double ENTRY_MILLIS = 500;

    private static final int SHARED_TOKENS = 200;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final ServiceName SERVICE = new ServiceName("engines");

    private final SheetDay day;
    private final UniformRandomProvider random;
    private final VirtualTime time = new VirtualTime();
    private final Map<TargetId, ModelledEngine> engines = new LinkedHashMap<>();
    private final List<ModelledHost> hosts = new ArrayList<>();
    private final List<StreamRecord> records = new ArrayList<>();
    private final Map<TargetId, Integer> reported = new HashMap<>();
    private final ServiceDefinition service;
    private final Route route = new Route(
            "drafts",
            "host",
            "/drafts/",
            RouteKind.STREAMING,
            TIMEOUT_MILLIS,
            GOAL_MILLIS,
            MAX_ATTEMPTS,
            1,
            true,
            true,
            List.of(new WeightedService(SERVICE, 1)));

    /** Creates the rule of one host. */
    interface PlacementFactory {
        PlacementPolicy create(ToIntFunction<EntryTarget> reportedLoad, UniformRandomProvider random);
    }

    ForwardingRun(SheetDay day, PlacementFactory placements, long seed) {
        this.day = day;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.service = new ServiceDefinition(
                SERVICE, MAX_CONNECTIONS, true, day.shape().memoryTokens(), true, true);
        for (int i = 0; i < day.engines(); i++) {
            EntryTarget target = target(i);
            engines.put(target.id(), new ModelledEngine(target, day.shape(), time));
        }
        for (int i = 0; i < day.hosts(); i++) {
            PlacementPolicy placement = placements.create(
                    target -> reported.getOrDefault(target.id(), 0),
                    RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()));
            ModelledHost host =
                    new ModelledHost("host-" + i, domain(i), placement, new LoadSheddingPolicy(random), time);
            hosts.add(host);
        }
        updateTargets();
    }

    /** Returns the one-way time between two places. */
    static double delayMillis(FailureDomain from, FailureDomain to) {
        return from.equals(to) ? IN_DOMAIN_MILLIS : BETWEEN_DOMAINS_MILLIS;
    }

    ForwardingResult run() {
        hosts.forEach(host -> host.join(hosts));
        scheduleArrival();
        scheduleReports();
        if (day.deathEveryMillis() > 0) {
            scheduleDeath(0);
        }
        time.runUntilMillis(day.millis() + TIMEOUT_MILLIS);
        return new ForwardingResult(
                records,
                engines.values().stream()
                        .mapToLong(ModelledEngine::promptTokensRead)
                        .sum(),
                (long) records.size() * day.promptTokens(),
                engines.values().stream()
                        .mapToLong(ModelledEngine::tokensCopied)
                        .sum(),
                hosts.stream().mapToLong(ModelledHost::newsSent).sum());
    }

    private EntryTarget target(int index) {
        return new EntryTarget(
                new TargetId("engine-" + index),
                SERVICE,
                "10.0.0.1",
                8_000 + index,
                domain(index),
                day.shape().slots(),
                false,
                0,
                1);
    }

    private FailureDomain domain(int index) {
        return new FailureDomain("domain-" + index % day.domains());
    }

    private void scheduleArrival() {
        double gap = -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / day.streamsPerSecond();
        time.afterMillis(gap, () -> {
            if (time.nowMillis() >= day.millis()) {
                return;
            }
            arrive();
            scheduleArrival();
        });
    }

    private void arrive() {
        String id = "stream-" + records.size();
        List<PromptPart> prompt =
                List.of(new PromptPart("shared", SHARED_TOKENS), new PromptPart(id, day.promptTokens()));
        int events = day.meanEvents() / 2 + random.nextInt(day.meanEvents());
        StreamRecord record = new StreamRecord(time.nowMillis());
        records.add(record);
        attempt(id, prompt, events, record, CLIENT_RETRIES);
    }

    /** Sends a client's attempt to a host; a client that is refused comes back when it is told to. */
    private void attempt(String id, List<PromptPart> prompt, int events, StreamRecord record, int retries) {
        LongConsumer onRefused = retryAfter -> {
            if (retries > 0) {
                time.afterMillis(retryAfter, () -> attempt(id, prompt, events, record, retries - 1));
            }
        };
        ModelledHost host = hosts.get(random.nextInt(hosts.size()));
        new ModelledStream(id, prompt, events, route, service, host, engines, time, record, onRefused).start();
    }

    private void scheduleReports() {
        time.afterMillis(REPORT_EVERY_MILLIS, () -> {
            Map<TargetId, Integer> loads = new HashMap<>();
            engines.forEach((id, engine) -> loads.put(id, engine.load()));
            time.afterMillis(REPORT_AGE_MILLIS, () -> reported.putAll(loads));
            scheduleReports();
        });
    }

    private void updateTargets() {
        TargetTable table = new TargetTable(
                engines.values().stream().map(ModelledEngine::target).toList());
        hosts.forEach(host -> host.picker().update(table));
    }

    private void scheduleDeath(int number) {
        time.afterMillis(day.deathEveryMillis(), () -> {
            if (time.nowMillis() >= day.millis()) {
                return;
            }
            boolean dark = number % 2 == 1;
            FailureDomain domain = domain(number);
            engines.values().stream()
                    .filter(engine -> engine.target().failureDomain().equals(domain))
                    .filter(engine -> engine.alive() && random.nextDouble() < day.deathShare())
                    .forEach(engine -> engine.die(dark, day.downMillis()));
            time.afterMillis(day.downMillis() + ENTRY_MILLIS, this::updateTargets);
            scheduleDeath(number + 1);
        });
    }
}
