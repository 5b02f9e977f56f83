package org.amaranthlock.bench.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import org.amaranthlock.bench.policy.Policy;
import org.amaranthlock.bench.sim.EngineFleet;
import org.amaranthlock.bench.sim.RecordingLedgerClient;
import org.amaranthlock.bench.sim.SimulatedEngine;
import org.amaranthlock.bench.sim.SimulatedRequest;
import org.amaranthlock.bench.sim.SimulatedRouter;
import org.amaranthlock.bench.sim.SimulatedTargetDirectory;
import org.amaranthlock.bench.sim.StaticConfiguration;
import org.amaranthlock.bench.sim.StaticMembership;
import org.amaranthlock.bench.sim.VirtualTimeScheduler;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.coordination.configuration.AccountSettings;
import org.amaranthlock.coordination.configuration.ServiceSettings;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Simulates a deployment under a demand and a fault, in virtual time. */
public final class Simulation {
    private final SimulationSettings settings;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final UniformRandomProvider random;
    private final EngineFleet fleet;
    private final Workload workload;
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final List<RecordingLedgerClient> ledgers = new ArrayList<>();
    private final List<SimulatedRequest> requests = new ArrayList<>();

    /** Creates the routers, engines and workload of a simulation. */
    public Simulation(SimulationSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
        Deployment deployment = settings.deployment();
        this.fleet = new EngineFleet(
                Workload.SERVICE,
                deployment.engines(),
                deployment.regions(),
                deployment.domainsPerRegion(),
                deployment.engine(),
                scheduler);
        this.workload = new Workload(deployment, settings.demand(), random);
        createRouters();
    }

    /** Runs the simulation to its end and returns the result. */
    public SimulationResult run() {
        routers.forEach(SimulatedRouter::start);
        fleet.engines().forEach(this::scheduleReport);
        scheduleFault();
        scheduleArrival();
        scheduler.runUntilMillis(settings.arrivalsMillis() + settings.drainMillis());
        return new SimulationResult(
                requests,
                ledgers.stream().flatMap(ledger -> ledger.outcomes().stream()).toList(),
                fleet.engines().stream()
                        .mapToLong(SimulatedEngine::generatedTokens)
                        .sum(),
                fleet.engines().stream()
                        .mapToLong(SimulatedEngine::prefilledTokens)
                        .sum(),
                fleet.engines().stream()
                        .mapToLong(SimulatedEngine::resumePrefillTokens)
                        .sum());
    }

    private void createRouters() {
        Deployment deployment = settings.deployment();
        List<RouterMember> members = new ArrayList<>();
        for (int i = 0; i < deployment.routers(); i++) {
            String region = "region-" + i % deployment.regions();
            String domain = region + "-domain-" + i / deployment.regions() % deployment.domainsPerRegion();
            members.add(new RouterMember(
                    new HostId("router-" + i + "-0"),
                    "10.1.0." + i + ":7000",
                    new Region(region),
                    new FailureDomain(domain)));
        }
        StaticConfiguration configuration = new StaticConfiguration(
                List.of(new ServiceSettings(Workload.SERVICE, Workload.PROFILE, true)),
                Workload.accounts().stream()
                        .map(account -> new AccountSettings(account, "key-" + account, 1, OptionalDouble.empty()))
                        .toList(),
                fleet.targets());
        for (RouterMember member : members) {
            routers.add(createRouter(member, members, configuration));
        }
    }

    private SimulatedRouter createRouter(
            RouterMember member, List<RouterMember> members, StaticConfiguration configuration) {
        SimulatedTargetDirectory directory = new SimulatedTargetDirectory(fleet.targets());
        StaticMembership membership = new StaticMembership(member, members);
        UniformRandomProvider routerRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
        Policy.Components components = settings.policy()
                .create(new Policy.Context(directory, configuration, membership, member.region(), routerRandom));
        RecordingLedgerClient ledger = new RecordingLedgerClient();
        ledgers.add(ledger);
        return new SimulatedRouter(
                SimulatedCoreFactory.create(components, directory, configuration, membership, ledger),
                member.region(),
                fleet,
                directory,
                scheduler);
    }

    private void scheduleArrival() {
        scheduler.scheduleAfterMillis(workload.nextGapMillis(scheduler.nowMillis()), () -> {
            if (scheduler.nowMillis() >= settings.arrivalsMillis()) {
                return;
            }
            SimulatedRequest request = workload.next(scheduler.nowMillis());
            requests.add(request);
            SimulatedRouter router = routers.get(random.nextInt(routers.size()));
            scheduler.scheduleAfterMillis(
                    settings.deployment().clientDelayMillis(), () -> router.receiveRequest(request));
            scheduleArrival();
        });
    }

    private void scheduleReport(SimulatedEngine engine) {
        long reportAgeMillis = settings.deployment().engine().reportDelayMillis();
        scheduler.scheduleAfterMillis(settings.deployment().engine().reportIntervalMillis(), () -> {
            if (!engine.alive()) {
                return;
            }
            TargetEvent.LoadReported report = new TargetEvent.LoadReported(
                    engine.target().id(), engine.runningCount(), engine.queuedCount(), reportAgeMillis);
            scheduler.scheduleAfterMillis(
                    reportAgeMillis, () -> routers.forEach(router -> router.receiveLoadReport(report)));
            scheduleReport(engine);
        });
    }

    private void scheduleFault() {
        List<SimulatedEngine> engines = List.copyOf(fleet.engines());
        switch (settings.fault()) {
            case SimulatedFault.None _ -> {
                // Nothing to schedule.
            }
            case SimulatedFault.SlowEngines slowdown ->
                scheduler.scheduleAfterMillis(
                        slowdown.atMillis(),
                        () -> engines.stream()
                                .limit(slowdown.count())
                                .forEach(engine -> engine.slowDown(slowdown.factor())));
            case SimulatedFault.EngineCrash crash ->
                scheduler.scheduleAfterMillis(
                        crash.atMillis(), () -> engines.getFirst().crash());
            case SimulatedFault.DomainCrash crash ->
                scheduler.scheduleAfterMillis(crash.atMillis(), () -> {
                    FailureDomain domain = engines.getFirst().target().failureDomain();
                    engines.stream()
                            .filter(engine -> engine.target().failureDomain().equals(domain))
                            .forEach(SimulatedEngine::crash);
                });
        }
    }
}
