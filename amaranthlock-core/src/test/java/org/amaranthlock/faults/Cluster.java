package org.amaranthlock.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.coordination.node.RouterCore;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerBatch;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.OutcomeEntry;
import org.amaranthlock.simulation.ClusterSimulation;
import org.amaranthlock.simulation.SimulatedRouterProcess;
import org.apache.commons.rng.simple.RandomSource;

/** Whole routers with a platform, targets and callers, in virtual time. */
final class Cluster {
    static final long SETTLE_MILLIS = 4_000;
    private static final long HOST_LIST_LAG_MILLIS = 1_000;

    final ClusterSimulation simulation;
    final ExecutionLog executionLog = new ExecutionLog();
    final List<SimulatedClient> clients = new ArrayList<>();
    final List<String> invariantViolations = new ArrayList<>();
    final TreeSet<Integer> cutFrom = new TreeSet<>();
    final TreeSet<Integer> cutTo = new TreeSet<>();
    final TreeSet<Integer> cutFromPlatform = new TreeSet<>();
    final Map<Long, OperatorCommand> operatorAnswers = new HashMap<>();
    final Map<TargetId, Long> drainingTargets = new LinkedHashMap<>();
    private final Map<Integer, RouterNode> nodes = new TreeMap<>();
    private final Map<TargetId, SimulatedTarget> targets = new TreeMap<>();
    private final Map<String, SimulatedClient> connections = new HashMap<>();
    private final Map<SimulatedRouterProcess, Long> drainingSince = new LinkedHashMap<>();
    private final Map<SimulatedRouterProcess, Long> revisions = new HashMap<>();
    private final long[] clockOffsets;
    private final TreeSet<Double> acceptedWeights = new TreeSet<>();
    private long lastUnique;
    private int incarnations;
    private int fencedOwners;

    /** One router process. */
    record RouterNode(int number, SimulatedRouterProcess router, RouterCore core) {}

    Cluster(long seed, int routers) {
        this(seed, routers, SETTLE_MILLIS);
    }

    /** Creates a cluster whose routers have been running for {@code settleMillis}. */
    Cluster(long seed, int routers, long settleMillis) {
        simulation = new ClusterSimulation(seed);
        simulation.refuseConnections();
        simulation.commandExecutor(this::execute);
        simulation.setReachability((from, to) -> !cutFrom.contains(number(from)) && !cutTo.contains(number(to)));
        simulation
                .platform()
                .setReachability(host -> nodes.values().stream()
                        .noneMatch(node -> node.router().member().host().equals(host)
                                && cutFrom.contains(node.number())
                                && cutTo.contains(node.number())));
        clockOffsets = new long[routers];
        SimulatedDeployment.configure(this);
        for (int number = 0; number < routers; number++) {
            // Every router's clock differs from the others by more than any timeout of the design.
            clockOffsets[number] = number * 40_000L;
            start(number);
        }
        simulation.advance(settleMillis);
    }

    private static int number(RouterMember member) {
        return Integer.parseInt(
                member.address().substring("10.0.0.".length(), member.address().indexOf(':')));
    }

    long now() {
        return simulation.now();
    }

    /** Runs the simulation and watches what must hold at every moment. */
    void advance(long millis) {
        long end = now() + millis;
        while (now() < end) {
            simulation.advance(Math.min(50, end - now()));
            watch();
        }
    }

    private void watch() {
        for (RouterNode node : running()) {
            long revision = node.core().configuration().revision();
            if (revision < revisions.getOrDefault(node.router(), 0L)) {
                invariantViolations.add("configuration reverted at router " + node.number());
            }
            revisions.put(node.router(), revision);
        }
        acceptedWeights.add(OperatorActions.weight(this));
        clients.forEach(SimulatedClient::checkSilence);
    }

    void start(int number) {
        RouterMember member = simulation.member(number, incarnations++);
        SimulatedRouterProcess router = new SimulatedRouterProcess(simulation, member);
        router.skewClock(clockOffsets[number]);
        List<String> seeds = List.of(
                simulation.member(0, 0).address(), simulation.member(1, 0).address());
        RouterCore core = new RouterCore(
                member,
                seeds,
                RandomSource.XO_RO_SHI_RO_128_PP.create(simulation.random().nextLong()));
        router.addComponent(core::handle);
        nodes.put(number, new RouterNode(number, router, core));
        simulation.add(router);
    }

    /** Ends the process of a router; its callers' connections are reset. */
    void kill(int number) {
        SimulatedRouterProcess router = nodes.get(number).router();
        router.kill();
        for (SimulatedClient caller : clients) {
            if (!caller.isDone() && caller.router() == router) {
                simulation.schedule(1, caller::onConnectionLost);
            }
        }
    }

    /** Starts a new process in the place of one that has ended. */
    void restart(int number) {
        if (!nodes.get(number).router().running()) {
            start(number);
        }
    }

    /** Moves a router's clock forward, as a correction of its time does. */
    void advanceClock(int number, long millis) {
        clockOffsets[number] += millis;
        nodes.get(number).router().skewClock(clockOffsets[number]);
    }

    void drain(int number) {
        SimulatedRouterProcess router = nodes.get(number).router();
        drainingSince.put(router, now());
        router.offer(new OperatorEvent.Drain(++lastUnique));
    }

    boolean draining(SimulatedRouterProcess router) {
        return drainingSince.containsKey(router);
    }

    RouterNode node(int number) {
        return nodes.get(number);
    }

    RouterNode node(SimulatedRouterProcess router) {
        return nodes.values().stream()
                .filter(node -> node.router() == router)
                .findFirst()
                .orElseThrow();
    }

    List<RouterNode> running() {
        return nodes.values().stream().filter(node -> node.router().running()).toList();
    }

    void heal() {
        cutFrom.clear();
        cutTo.clear();
        cutFromPlatform.clear();
        simulation.setNetworkFaults(0, 0, 12);
        simulation.setLatency((from, to) -> 0);
        simulation.platform().down(false);
        simulation.platform().slowByMillis(0);
        simulation.platform().setFaults(0, 0);
        targets.values().forEach(SimulatedTarget::restart);
        for (RouterNode node : List.copyOf(nodes.values())) {
            restart(node.number());
        }
    }

    void add(Target target) {
        targets.put(target.id(), new SimulatedTarget(simulation, target, executionLog));
        listHosts();
    }

    List<SimulatedTarget> targets(String service) {
        return targets.values().stream()
                .filter(target -> target.target().service().value().equals(service))
                .toList();
    }

    List<SimulatedTarget> allTargets() {
        return List.copyOf(targets.values());
    }

    /** Begins the graceful end of a target: it refuses new work, and later the host list tells so. */
    void drainTarget(SimulatedTarget target) {
        target.drain();
        simulation.schedule(HOST_LIST_LAG_MILLIS, () -> listAsDraining(target));
    }

    /** Shows a target as leaving in the host list, while it still takes work itself. */
    void listAsDraining(SimulatedTarget target) {
        drainingTargets.putIfAbsent(target.target().id(), now());
        listHosts();
    }

    private void listHosts() {
        List<HostEntry> hosts = new ArrayList<>();
        for (SimulatedTarget target : targets.values()) {
            Target value = target.target();
            boolean leaving = drainingTargets.containsKey(value.id());
            hosts.add(new HostEntry(
                    value.id().value(), "target", value.address(), value.region(), value.failureDomain(), leaving));
        }
        simulation.platform().hosts(hosts);
    }

    void putConfiguration(String kind, String name, String text) {
        ConfigurationVersion version =
                new ConfigurationVersion(0, Optional.of(text), "setup", kind + "/" + name, now());
        simulation
                .platform()
                .put("config/" + kind + "/" + name, new ConfigurationEntry(kind, name, version, List.of()));
    }

    /** Writes a configuration entry through a router and returns the call number. */
    long putConfigurationAsOperator(int number, String kind, String name, long expectedRevision, String text) {
        long call = ++lastUnique;
        nodes.get(number)
                .router()
                .offer(new OperatorEvent.PutConfiguration(
                        call, kind, name, expectedRevision, Optional.of(text), "operator", "change-" + call));
        return call;
    }

    long requestOutcome(int number, RequestId request) {
        long call = ++lastUnique;
        nodes.get(number).router().offer(new OperatorEvent.ShowOutcome(call, request));
        return call;
    }

    String nextUniqueId() {
        return "u" + ++lastUnique;
    }

    void connected(SimulatedRouterProcess router, RequestId connection, SimulatedClient caller) {
        connections.put(router.member().host() + " " + connection, caller);
    }

    private Optional<SimulatedClient> caller(SimulatedRouterProcess router, RequestId connection) {
        return Optional.ofNullable(connections.get(router.member().host() + " " + connection))
                .filter(caller -> caller.isServedBy(router, connection));
    }

    void execute(SimulatedRouterProcess router, Command command) {
        switch (command) {
            case RequestCommand.OpenStream open -> target(open.target()).open(router, open);
            case RequestCommand.AttachStream attach -> target(attach.target()).attach(router, attach);
            case RequestCommand.CancelAttempt cancel -> target(cancel.target()).cancel(cancel.attempt());
            case RequestCommand.CallService call -> target(call.target()).call(router, call);
            case RequestCommand.Reconcile query -> target(query.target()).reconcile(router, query);
            case TargetCommand.Poll poll -> target(poll.target()).poll(router);
            case RequestCommand.DeliverTokens deliver ->
                caller(router, deliver.request()).ifPresent(caller -> caller.onTokens(deliver));
            case RequestCommand.CompleteStream end ->
                caller(router, end.request()).ifPresent(caller -> caller.completed(end.record()));
            case RequestCommand.DeliverResponse end ->
                caller(router, end.request()).ifPresent(caller -> caller.onResponse(end.response()));
            case RequestCommand.Refuse refuse -> {
                // The refusal is checked also when its caller has gone, because it may have been read.
                SimulatedClient told = connections.get(router.member().host() + " " + refuse.request());
                if (told != null) {
                    told.recordRefusal(refuse.request(), refuse.refusal());
                }
                caller(router, refuse.request()).ifPresent(caller -> caller.onRefusal(refuse.refusal()));
            }
            case RequestCommand.Supersede end -> caller(router, end.request()).ifPresent(SimulatedClient::onSuperseded);
            case OperatorCommand answer -> operatorAnswers.put(answer.call(), answer);
            case Command.Stop stop -> stop(router);
            case Command.RecordTimelineEvent trace ->
                fencedOwners += trace.kind().equals("ledger-fenced") ? 1 : 0;
            default -> {}
        }
    }

    private void stop(SimulatedRouterProcess router) {
        for (SimulatedClient caller : clients) {
            if (!caller.isDone() && caller.router() == router) {
                invariantViolations.add("graceful shutdown interrupted " + caller);
            }
        }
        kill(node(router).number());
    }

    /** Returns the weights that the platform has held. */
    TreeSet<Double> acceptedWeights() {
        return acceptedWeights;
    }

    /** Returns how often a partition owner found that another one had taken its place. */
    int fencedOwners() {
        return fencedOwners;
    }

    private SimulatedTarget target(Target target) {
        return targets.get(target.id());
    }

    /** Returns all records in the ledger's log, in the order of partition and position. */
    List<OutcomeRecord> records() {
        List<OutcomeRecord> records = new ArrayList<>();
        simulation.platform().objectsBelow("ledger/").forEach(object -> {
            if (object.value() instanceof LedgerBatch batch) {
                batch.entries().forEach(entry -> {
                    if (entry instanceof OutcomeEntry outcome) {
                        records.add(outcome.outcome().record());
                    }
                });
            }
        });
        return records;
    }

    List<OutcomeRecord> records(String ledgerKey) {
        return records().stream()
                .filter(record -> record.ledgerKey().equals(ledgerKey))
                .toList();
    }

    static Region region(int domain) {
        return new Region("region-" + domain);
    }

    static FailureDomain domain(int domain) {
        return new FailureDomain("domain-" + domain);
    }
}
