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

/** Routers with the ledger and a stand-in for the request life cycle, which executes what it is granted. */
final class LedgerFixture {
    private final ClusterSimulation simulation;
    private final Map<Integer, RouterNode> nodes = new LinkedHashMap<>();
    private final List<RouterNode> all = new ArrayList<>();
    /** Every outcome that was handed over, in order, by request. */
    private final Map<RequestId, List<OutcomeRecord>> closed = new LinkedHashMap<>();
    /** Requests whose outcome was acknowledged. */
    private final Set<RequestId> durable = new HashSet<>();

    private final Map<String, Integer> executions = new HashMap<>();
    private int lastRequest;

    LedgerFixture(ClusterSimulation simulation, int count) {
        this.simulation = simulation;
        for (int number = 0; number < count; number++) {
            start(number);
        }
        alignViews();
    }

    /** One router. */
    final class RouterNode implements CoreComponent {
        final SimulatedRouterProcess router;
        final SettableMembershipView view;
        final DefaultLedgerClient client;
        private final Map<RequestId, RequestSpec> asked = new LinkedHashMap<>();
        private final Set<RequestId> decided = new HashSet<>();
        private final Set<RequestId> closedHere = new HashSet<>();

        private RouterNode(RouterMember member) {
            router = new SimulatedRouterProcess(simulation, member);
            view = new SettableMembershipView(member);
            OperationNumberGenerator numbers = new OperationNumberGenerator();
            router.addComponent(new PartitionOwners(view, numbers));
            client = router.addComponent(new DefaultLedgerClient(view, numbers));
            router.addComponent(this);
        }

        @Override
        public List<Command> handle(Event event, long nowMillis) {
            if (event instanceof RequestEvent.ClaimDecided verdict && asked.containsKey(verdict.request())) {
                assertWithMessage("first verdict on %s", verdict.request())
                        .that(decided.add(verdict.request()))
                        .isTrue();
                decide(asked.get(verdict.request()), verdict.result());
            }
            if (client.pendingOutcomeCount() == 0) {
                durable.addAll(closedHere);
                closedHere.clear();
            }
            return List.of();
        }

        private void decide(RequestSpec spec, ClaimResult verdict) {
            if (verdict instanceof ClaimResult.Granted granted) {
                assertCommitted(spec, granted.fence(), router.member().host());
                boolean dispatches = simulation.random().nextInt(3) > 0;
                if (dispatches) {
                    executions.merge(spec.ledgerKey(), 1, Integer::sum);
                }
                ExecutionStatus fate = dispatches ? ExecutionStatus.RAN : ExecutionStatus.NOT_RUN;
                simulation.schedule(simulation.random().nextLong(1_500), () -> close(spec, fate));
            } else {
                close(spec, ExecutionStatus.NOT_RUN);
            }
        }

        void close(RequestSpec spec, ExecutionStatus fate) {
            if (!router.running()) {
                return;
            }
            OutcomeRecord record = record(spec, fate, router.member().host());
            closed.computeIfAbsent(spec.id(), key -> new ArrayList<>()).add(record);
            closedHere.add(spec.id());
            router.execute(client.submitOutcome(new FinalOutcome(record, Optional.empty()), simulation.now()));
        }

        void claim(RequestSpec spec) {
            asked.put(spec.id(), spec);
            router.execute(client.requestClaim(spec, simulation.now()));
        }

        int undecidedClaims() {
            return asked.size() - decided.size();
        }
    }

    RouterNode start(int number) {
        RouterNode node = new RouterNode(
                simulation.member(number, (int) (simulation.now() - ClusterSimulation.START_MILLIS) + 1));
        nodes.put(number, node);
        all.add(node);
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

    /** Gives all routers the same, true view. */
    void alignViews() {
        List<RouterMember> members = members();
        for (RouterNode node : running()) {
            node.view.set(members, members);
        }
    }

    /** Gives a router a view of its own, so that it may believe itself the owner of any partition. */
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
        lastRequest++;
        String ledgerKey = "account/" + key;
        RequestId id = LedgerPartitions.requestId(LedgerPartitions.ofKey(ledgerKey), "request-" + lastRequest);
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

    static OutcomeRecord record(RequestSpec spec, ExecutionStatus fate, HostId router) {
        return new OutcomeRecord(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile().name(),
                spec.ledgerKey(),
                fate == ExecutionStatus.RAN ? Outcome.COMPLETED : Outcome.REFUSED,
                fate,
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
        Optional<VersionedObject> object = simulation.platform().object(LedgerKeys.position(partition, fence));
        LedgerEntry expected = new ClaimEntry(spec.ledgerKey(), spec.fingerprint(), spec.id(), holder);
        assertThat(((LedgerBatch) object.orElseThrow().value()).entries()).contains(expected);
    }

    void assertNothingExecutedTwice() {
        executions.forEach((key, count) ->
                assertWithMessage("executions of %s", key).that(count).isEqualTo(1));
    }

    /** Checks the whole log: one holder per key at a time, and one outcome per request. */
    void assertLogIsConsistent() {
        Map<String, ClaimEntry> open = new HashMap<>();
        Map<String, ExecutionStatus> fates = new HashMap<>();
        Map<RequestId, OutcomeRecord> outcomes = new HashMap<>();
        for (VersionedObject object : simulation.platform().objectsWithPrefix("ledger/")) {
            if (!(object.value() instanceof LedgerBatch batch)) {
                continue;
            }
            for (LedgerEntry entry : batch.entries()) {
                switch (entry) {
                    case ClaimEntry claim -> {
                        assertThat(open).doesNotContainKey(claim.ledgerKey());
                        assertThat(fates.get(claim.ledgerKey())).isAnyOf(null, ExecutionStatus.NOT_RUN);
                        open.put(claim.ledgerKey(), claim);
                    }
                    case OutcomeEntry outcome -> {
                        OutcomeRecord record = outcome.outcome().record();
                        assertThat(outcomes.putIfAbsent(record.request(), record))
                                .isNull();
                        ClaimEntry claim = open.get(record.ledgerKey());
                        if (claim != null && claim.request().equals(record.request())) {
                            open.remove(record.ledgerKey());
                            fates.put(record.ledgerKey(), record.executionStatus());
                        }
                    }
                }
            }
        }
    }

    /** Returns the first outcome of each request in the log. */
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

    Map<RequestId, List<OutcomeRecord>> closed() {
        return closed;
    }

    Set<RequestId> durable() {
        return durable;
    }

    /** Returns the owner that the last position of a log names. */
    HostId lastOwner(int partition) {
        String key = LedgerKeys.position(partition, highestPosition(partition).orElseThrow());
        return ((LedgerBatch) simulation.platform().object(key).orElseThrow().value()).owner();
    }

    OptionalLong highestPosition(int partition) {
        return simulation.platform().objectsWithPrefix(String.format("ledger/%02x/log/", partition)).stream()
                .mapToLong(object -> ((LedgerBatch) object.value()).sequence())
                .max();
    }
}
