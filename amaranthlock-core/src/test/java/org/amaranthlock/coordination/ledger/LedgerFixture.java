package org.amaranthlock.coordination.ledger;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.coordination.membership.SettableMembershipView;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ClaimEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerBatch;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.OutcomeEntry;
import org.amaranthlock.protocol.objectapi.VersionedObject;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;
import org.amaranthlock.simulation.ClusterSimulation;
import org.amaranthlock.simulation.SimulatedRouterProcess;

/** Cluster of simulated routers that run the ledger and a simplified request lifecycle that executes granted claims. */
final class LedgerFixture {
    private final ClusterSimulation simulation;
    private final Map<Integer, RouterNode> nodes = new LinkedHashMap<>();
    private final List<RouterNode> startedNodes = new ArrayList<>();
    /** All submitted outcomes in order of submission, by request. */
    private final Map<RequestId, List<OutcomeRecord>> submittedOutcomes = new LinkedHashMap<>();
    /** Requests whose outcomes were acknowledged. */
    private final Set<RequestId> durableRequests = new HashSet<>();

    private final Map<String, Integer> executions = new HashMap<>();
    private int lastRequestNumber;

    LedgerFixture(ClusterSimulation simulation, int count) {
        this.simulation = simulation;
        for (int number = 0; number < count; number++) {
            start(number);
        }
        alignViews();
    }

    /** Simulated router that claims requests, executes the granted ones and submits their outcomes. */
    final class RouterNode implements CoreComponent {
        final SimulatedRouterProcess router;
        final SettableMembershipView view;
        final DefaultLedgerClient client;
        private final Map<RequestId, RequestSpec> claimed = new LinkedHashMap<>();
        private final Set<RequestId> decided = new HashSet<>();
        private final Set<RequestId> closedRequests = new HashSet<>();

        private RouterNode(RouterMember member) {
            router = new SimulatedRouterProcess(simulation, member);
            view = new SettableMembershipView(member);
            OperationNumberGenerator operationNumbers = new OperationNumberGenerator();
            router.addComponent(new PartitionOwners(view, operationNumbers));
            client = router.addComponent(new DefaultLedgerClient(view, operationNumbers));
            router.addComponent(this);
        }

        @Override
        public List<Command> handle(Event event, long nowMillis) {
            if (event instanceof RequestEvent.ClaimDecided decision && claimed.containsKey(decision.request())) {
                assertWithMessage("first decision on the claim of %s", decision.request())
                        .that(decided.add(decision.request()))
                        .isTrue();
                handleResult(claimed.get(decision.request()), decision.result());
            }
            if (client.pendingOutcomeCount() == 0) {
                durableRequests.addAll(closedRequests);
                closedRequests.clear();
            }
            return List.of();
        }

        private void handleResult(RequestSpec spec, ClaimResult result) {
            if (result instanceof ClaimResult.Granted granted) {
                assertCommitted(spec, granted.fence(), router.member().host());
                boolean dispatches = simulation.random().nextInt(3) > 0;
                if (dispatches) {
                    executions.merge(spec.ledgerKey(), 1, Integer::sum);
                }
                ExecutionStatus executionStatus = dispatches ? ExecutionStatus.RAN : ExecutionStatus.NOT_RUN;
                simulation.schedule(simulation.random().nextLong(1_500), () -> close(spec, executionStatus));
            } else {
                close(spec, ExecutionStatus.NOT_RUN);
            }
        }

        void close(RequestSpec spec, ExecutionStatus executionStatus) {
            if (!router.running()) {
                return;
            }
            OutcomeRecord record = record(spec, executionStatus, router.member().host());
            submittedOutcomes
                    .computeIfAbsent(spec.id(), key -> new ArrayList<>())
                    .add(record);
            closedRequests.add(spec.id());
            router.execute(client.submitOutcome(new FinalOutcome(record, Optional.empty()), simulation.now()));
        }

        void claim(RequestSpec spec) {
            claimed.put(spec.id(), spec);
            router.execute(client.requestClaim(spec, simulation.now()));
        }

        int undecidedClaims() {
            return claimed.size() - decided.size();
        }
    }

    RouterNode start(int number) {
        RouterNode node = new RouterNode(
                simulation.member(number, (int) (simulation.now() - ClusterSimulation.START_MILLIS) + 1));
        nodes.put(number, node);
        startedNodes.add(node);
        simulation.add(node.router);
        return node;
    }

    RouterNode node(int number) {
        return nodes.get(number);
    }

    List<RouterNode> running() {
        List<RouterNode> result = new ArrayList<>(nodes.values());
        result.removeIf(node -> !node.router.running());
        return result;
    }

    /** Gives all routers the same, correct membership view. */
    void alignViews() {
        List<RouterMember> members = members();
        for (RouterNode node : running()) {
            node.view.set(members, members);
        }
    }

    /** Hides routers from the view of one router, which may then consider itself the owner of their partitions. */
    void hideMembers(RouterNode node, List<Integer> hidden) {
        List<RouterMember> live = new ArrayList<>(members());
        live.removeIf(member -> !member.equals(node.view.self())
                && hidden.stream()
                        .anyMatch(number -> nodes.get(number).view.self().equals(member)));
        node.view.set(live, members());
    }

    private List<RouterMember> members() {
        return running().stream().map(node -> node.router.member()).toList();
    }

    RequestSpec request(String key, long fingerprint) {
        lastRequestNumber++;
        String ledgerKey = "account/" + key;
        RequestId id = LedgerPartitions.requestId(LedgerPartitions.ofKey(ledgerKey), "request-" + lastRequestNumber);
        return new RequestSpec(
                id,
                new AccountId("account"),
                new ServiceName("orders"),
                new Profile("orders", ProfileKind.AT_MOST_ONCE, 3, 1, 10_000),
                Optional.of(new IdempotencyKey(key)),
                fingerprint,
                simulation.now(),
                simulation.now() + 10_000,
                new Work.ServiceCall("POST", "/orders", Map.of(), new byte[0]));
    }

    static OutcomeRecord record(RequestSpec spec, ExecutionStatus executionStatus, HostId router) {
        return new OutcomeRecord(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile().name(),
                spec.ledgerKey(),
                executionStatus == ExecutionStatus.RAN ? Outcome.COMPLETED : Outcome.REFUSED,
                executionStatus,
                "",
                200,
                router,
                List.of(),
                1,
                0,
                0,
                spec.arrivedAtMillis(),
                spec.arrivedAtMillis() + 1);
    }

    private void assertCommitted(RequestSpec spec, long fence, HostId holder) {
        int partition = LedgerPartitions.ofKey(spec.ledgerKey());
        Optional<VersionedObject> object = simulation.platform().object(LedgerKeys.logKey(partition, fence));
        LedgerEntry expected = new ClaimEntry(spec.ledgerKey(), spec.fingerprint(), spec.id(), holder);
        assertThat(((LedgerBatch) object.orElseThrow().value()).entries()).contains(expected);
    }

    void assertNothingExecutedTwice() {
        executions.forEach((key, count) ->
                assertWithMessage("executions of %s", key).that(count).isEqualTo(1));
    }

    /** Checks that the logs contain at most one holder per key at a time and at most one outcome per request. */
    void assertLogIsConsistent() {
        Map<String, ClaimEntry> open = new HashMap<>();
        Map<String, ExecutionStatus> executionStatuses = new HashMap<>();
        Map<RequestId, OutcomeRecord> outcomes = new HashMap<>();
        for (VersionedObject object : simulation.platform().objectsWithPrefix("ledger/")) {
            if (!(object.value() instanceof LedgerBatch batch)) {
                continue;
            }
            for (LedgerEntry entry : batch.entries()) {
                switch (entry) {
                    case ClaimEntry claim -> {
                        assertThat(open).doesNotContainKey(claim.ledgerKey());
                        assertThat(executionStatuses.get(claim.ledgerKey())).isAnyOf(null, ExecutionStatus.NOT_RUN);
                        open.put(claim.ledgerKey(), claim);
                    }
                    case OutcomeEntry outcome -> {
                        OutcomeRecord record = outcome.outcome().record();
                        assertThat(outcomes.putIfAbsent(record.request(), record))
                                .isNull();
                        ClaimEntry claim = open.get(record.ledgerKey());
                        if (claim != null && claim.request().equals(record.request())) {
                            open.remove(record.ledgerKey());
                            executionStatuses.put(record.ledgerKey(), record.executionStatus());
                        }
                    }
                }
            }
        }
    }

    /** Returns the first outcome of each request in the logs. */
    Map<RequestId, OutcomeRecord> firstOutcomes() {
        Map<RequestId, OutcomeRecord> outcomes = new LinkedHashMap<>();
        for (VersionedObject object : simulation.platform().objectsWithPrefix("ledger/")) {
            if (object.value() instanceof LedgerBatch batch) {
                for (LedgerEntry entry : batch.entries()) {
                    if (entry instanceof OutcomeEntry outcome) {
                        OutcomeRecord record = outcome.outcome().record();
                        outcomes.putIfAbsent(record.request(), record);
                    }
                }
            }
        }
        return outcomes;
    }

    Map<RequestId, List<OutcomeRecord>> submittedOutcomes() {
        return submittedOutcomes;
    }

    Set<RequestId> durableRequests() {
        return durableRequests;
    }

    /** Returns the owner that wrote the last position of a log. */
    HostId lastOwner(int partition) {
        String key = LedgerKeys.logKey(partition, highestPosition(partition).orElseThrow());
        return ((LedgerBatch) simulation.platform().object(key).orElseThrow().value()).owner();
    }

    OptionalLong highestPosition(int partition) {
        return simulation.platform().objectsWithPrefix(String.format("ledger/%02x/log/", partition)).stream()
                .mapToLong(object -> ((LedgerBatch) object.value()).sequence())
                .max();
    }
}
