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

/** Complete router cores with a simulated platform, targets and clients, in virtual time. */
final class Cluster {
    static final long SETTLING_MILLIS = 4_000;
    private static final long HOST_LIST_DELAY_MILLIS = 1_000;

    final ClusterSimulation simulation;
    final ExecutionLog executionLog = new ExecutionLog();
    final List<SimulatedClient> clients = new ArrayList<>();
    final List<String> invariantViolations = new ArrayList<>();
    /** Routers whose messages to other routers are lost. */
    final TreeSet<Integer> blockedSenders = new TreeSet<>();
    /** Routers that receive no messages from other routers. */
    final TreeSet<Integer> blockedReceivers = new TreeSet<>();
    /** Routers that a test marks as unable to reach the platform; the reachability of the platform ignores them. */
    final TreeSet<Integer> blockedFromPlatform = new TreeSet<>();

    final Map<Long, OperatorCommand> operatorResponses = new HashMap<>();
    final Map<TargetId, Long> drainingTargets = new LinkedHashMap<>();
    private final Map<Integer, RouterNode> nodes = new TreeMap<>();
    private final Map<TargetId, SimulatedTarget> targets = new TreeMap<>();
    private final Map<String, SimulatedClient> clientsByConnection = new HashMap<>();
    private final Map<SimulatedRouterProcess, Long> drainingSince = new LinkedHashMap<>();
    private final Map<SimulatedRouterProcess, Long> lastRevisions = new HashMap<>();
    private final long[] clockOffsetsMillis;
    private final TreeSet<Double> acceptedWeights = new TreeSet<>();
    private long lastUniqueNumber;
    private int incarnations;
    private int fencedOwnerCount;

    /** A router process and its core. */
    record RouterNode(int number, SimulatedRouterProcess router, RouterCore core) {}

    Cluster(long seed, int routers) {
        this(seed, routers, SETTLING_MILLIS);
    }

    /** Creates a cluster whose routers have been running for {@code settleMillis}. */
    Cluster(long seed, int routers, long settleMillis) {
        simulation = new ClusterSimulation(seed);
        simulation.reportRefusedConnections();
        simulation.setCommandExecutor(this::execute);
        simulation.setReachability(
                (from, to) -> !blockedSenders.contains(number(from)) && !blockedReceivers.contains(number(to)));
        simulation
                .platform()
                .setReachability(host -> nodes.values().stream()
                        .noneMatch(node -> node.router().member().host().equals(host)
                                && blockedSenders.contains(node.number())
                                && blockedReceivers.contains(node.number())));
        clockOffsetsMillis = new long[routers];
        SimulatedDeployment.configure(this);
        for (int number = 0; number < routers; number++) {
            // Every router's clock differs from the others by more than any timeout of the system.
            clockOffsetsMillis[number] = number * 40_000L;
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

    /** Advances the simulation in steps of 50 ms and checks the continuous invariants after each step. */
    void advance(long millis) {
        long end = now() + millis;
        while (now() < end) {
            simulation.advance(Math.min(50, end - now()));
            checkContinuousInvariants();
        }
    }

    private void checkContinuousInvariants() {
        for (RouterNode node : runningNodes()) {
            long revision = node.core().configuration().revision();
            if (revision < lastRevisions.getOrDefault(node.router(), 0L)) {
                invariantViolations.add("configuration revision went back at router " + node.number());
            }
            lastRevisions.put(node.router(), revision);
        }
        acceptedWeights.add(OperatorActions.weight(this));
        clients.forEach(SimulatedClient::reconnectIfSilent);
    }

    void start(int number) {
        RouterMember member = simulation.member(number, incarnations++);
        SimulatedRouterProcess router = new SimulatedRouterProcess(simulation, member);
        router.setClockOffsetMillis(clockOffsetsMillis[number]);
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

    /** Kills the process of a router; the connections of its clients are reset. */
    void kill(int number) {
        SimulatedRouterProcess router = nodes.get(number).router();
        router.kill();
        for (SimulatedClient client : clients) {
            if (!client.isDone() && client.router() == router) {
                simulation.schedule(1, client::onConnectionLost);
            }
        }
    }

    /** Starts a new process of a router whose process has ended. */
    void restart(int number) {
        if (!nodes.get(number).router().running()) {
            start(number);
        }
    }

    /** Moves a router's clock forward, as a time correction does. */
    void advanceClock(int number, long millis) {
        clockOffsetsMillis[number] += millis;
        nodes.get(number).router().setClockOffsetMillis(clockOffsetsMillis[number]);
    }

    void drain(int number) {
        SimulatedRouterProcess router = nodes.get(number).router();
        drainingSince.put(router, now());
        router.offer(new OperatorEvent.Drain(++lastUniqueNumber));
    }

    boolean isDraining(SimulatedRouterProcess router) {
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

    List<RouterNode> runningNodes() {
        return nodes.values().stream().filter(node -> node.router().running()).toList();
    }

    /** Ends all faults and restarts dead targets and routers. */
    void heal() {
        blockedSenders.clear();
        blockedReceivers.clear();
        blockedFromPlatform.clear();
        simulation.setNetworkFaults(0, 0, 12);
        simulation.setLatency((from, to) -> 0);
        simulation.platform().setDown(false);
        simulation.platform().setAddedLatencyMillis(0);
        simulation.platform().setFaults(0, 0);
        targets.values().forEach(SimulatedTarget::restart);
        for (RouterNode node : List.copyOf(nodes.values())) {
            restart(node.number());
        }
    }

    void addTarget(Target target) {
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

    /** Starts draining a target: it refuses new work at once, and the host list shows it as draining later. */
    void drainTarget(SimulatedTarget target) {
        target.drain();
        simulation.schedule(HOST_LIST_DELAY_MILLIS, () -> listAsDraining(target));
    }

    /** Shows a target as draining in the host list, although the target itself still accepts new work. */
    void listAsDraining(SimulatedTarget target) {
        drainingTargets.putIfAbsent(target.target().id(), now());
        listHosts();
    }

    private void listHosts() {
        List<HostEntry> hosts = new ArrayList<>();
        for (SimulatedTarget target : targets.values()) {
            Target value = target.target();
            boolean draining = drainingTargets.containsKey(value.id());
            hosts.add(new HostEntry(
                    value.id().value(), "target", value.address(), value.region(), value.failureDomain(), draining));
        }
        simulation.platform().setHosts(hosts);
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
        long call = ++lastUniqueNumber;
        nodes.get(number)
                .router()
                .offer(new OperatorEvent.PutConfiguration(
                        call, kind, name, expectedRevision, Optional.of(text), "operator", "change-" + call));
        return call;
    }

    /** Queries the record of a request through a router and returns the call number. */
    long requestOutcome(int number, RequestId request) {
        long call = ++lastUniqueNumber;
        nodes.get(number).router().offer(new OperatorEvent.ShowOutcome(call, request));
        return call;
    }

    String nextUniqueId() {
        return "u" + ++lastUniqueNumber;
    }

    void registerConnection(SimulatedRouterProcess router, RequestId connection, SimulatedClient client) {
        clientsByConnection.put(router.member().host() + " " + connection, client);
    }

    private Optional<SimulatedClient> findClient(SimulatedRouterProcess router, RequestId connection) {
        return Optional.ofNullable(clientsByConnection.get(router.member().host() + " " + connection))
                .filter(client -> client.isServedBy(router, connection));
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
                findClient(router, deliver.request()).ifPresent(client -> client.onTokens(deliver));
            case RequestCommand.CompleteStream end ->
                findClient(router, end.request()).ifPresent(client -> client.onCompleted(end.record()));
            case RequestCommand.DeliverResponse end ->
                findClient(router, end.request()).ifPresent(client -> client.onResponse(end.response()));
            case RequestCommand.Refuse refuse -> {
                // Recorded even if the client has since disconnected, because it may have read the refusal.
                SimulatedClient recipient =
                        clientsByConnection.get(router.member().host() + " " + refuse.request());
                if (recipient != null) {
                    recipient.recordRefusal(refuse.request(), refuse.refusal());
                }
                findClient(router, refuse.request()).ifPresent(client -> client.onRefusal(refuse.refusal()));
            }
            case RequestCommand.Supersede end ->
                findClient(router, end.request()).ifPresent(SimulatedClient::onSuperseded);
            case OperatorCommand response -> operatorResponses.put(response.call(), response);
            case Command.Stop stop -> onRouterStopped(router);
            case Command.RecordTimelineEvent trace ->
                fencedOwnerCount += trace.kind().equals("ledger-fenced") ? 1 : 0;
            default -> {}
        }
    }

    private void onRouterStopped(SimulatedRouterProcess router) {
        for (SimulatedClient client : clients) {
            if (!client.isDone() && client.router() == router) {
                invariantViolations.add("graceful shutdown interrupted the request of " + client);
            }
        }
        kill(node(router).number());
    }

    /** Returns all weights that the platform has stored so far. */
    TreeSet<Double> acceptedWeights() {
        return acceptedWeights;
    }

    /** Returns how often a ledger partition owner found that another router had taken the partition over. */
    int fencedOwnerCount() {
        return fencedOwnerCount;
    }

    private SimulatedTarget target(Target target) {
        return targets.get(target.id());
    }

    /** Returns all outcome records in the ledger, ordered by partition and position. */
    List<OutcomeRecord> records() {
        List<OutcomeRecord> records = new ArrayList<>();
        simulation.platform().objectsWithPrefix("ledger/").forEach(object -> {
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

    static FailureDomain failureDomain(int domain) {
        return new FailureDomain("domain-" + domain);
    }
}
