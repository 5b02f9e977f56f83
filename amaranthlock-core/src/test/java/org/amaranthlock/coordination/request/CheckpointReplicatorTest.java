package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class CheckpointReplicatorTest {
    private static final long SEARCH_TIMEOUT_MILLIS = 300;
    private static final HostId OWNER = new HostId("router-1");
    private static final HostId BACKUP = new HostId("router-0");

    private final RequestFixture fixture = RequestFixture.withTargets(1);
    private final RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
    private final AttemptId attempt = new AttemptId(spec.id(), 1);
    private final List<String> tokens = new ArrayList<>();
    private final CheckpointSource source = new TestCheckpointSource();

    /** Router with its own membership view, whose messages a test delivers explicitly. */
    private final class Router {
        private final FakeMembership membership;
        private final CheckpointReplicator replicator;
        private final HostId id;
        private final List<Command> commands = new ArrayList<>();

        Router(HostId id) {
            this.id = id;
            this.membership = new FakeMembership(id.value());
            RequestDependencies dependencies = fixture.dependencies;
            this.replicator = new CheckpointReplicator(
                    membership, dependencies.targets(), dependencies.ledger(), new OperationNumberGenerator());
        }

        void tick(long millis) {
            for (long end = fixture.now + millis; fixture.now < end; ) {
                fixture.now += 50;
                commands.addAll(replicator.handle(new Event.Tick(), fixture.now));
            }
        }

        void receive(HostId from, PeerMessage message) {
            commands.addAll(replicator.handle(new Event.PeerReceived(from, message), fixture.now));
        }

        /** Delivers this router's messages to another router and discards all pending commands. */
        void deliverTo(Router other) {
            for (Command command : List.copyOf(commands)) {
                if (command instanceof Command.SendPeer sent && sent.to().equals(other.id)) {
                    other.receive(id, sent.message());
                }
            }
            commands.clear();
        }

        <T> List<T> sentMessages(Class<T> type) {
            return commands.stream()
                    .filter(Command.SendPeer.class::isInstance)
                    .map(command -> ((Command.SendPeer) command).message())
                    .filter(type::isInstance)
                    .map(type::cast)
                    .toList();
        }

        List<RequestEvent.CheckpointSearchCompleted> finishedSearches() {
            return commands.stream()
                    .filter(Command.Raise.class::isInstance)
                    .map(command -> ((Command.Raise) command).event())
                    .filter(RequestEvent.CheckpointSearchCompleted.class::isInstance)
                    .map(RequestEvent.CheckpointSearchCompleted.class::cast)
                    .toList();
        }

        Optional<Checkpoint> foundCheckpoint() {
            return commands.stream()
                    .filter(Command.Raise.class::isInstance)
                    .map(command -> ((Command.Raise) command).event())
                    .filter(RequestEvent.CheckpointSearchCompleted.class::isInstance)
                    .map(event -> ((RequestEvent.CheckpointSearchCompleted) event).checkpoint())
                    .findFirst()
                    .orElseThrow();
        }

        void markDead(HostId host) {
            membership.dead.add(host);
        }
    }

    private final class TestCheckpointSource implements CheckpointSource {
        @Override
        public RequestSpec spec() {
            return spec;
        }

        @Override
        public Checkpoint checkpoint() {
            return new Checkpoint(spec, OWNER, attempt(), target().map(Target::id), "v1", tokens);
        }

        @Override
        public boolean isKeptAlive() {
            return true;
        }

        @Override
        public Optional<AttemptId> attempt() {
            return Optional.of(attempt);
        }

        @Override
        public Optional<Target> target() {
            return Optional.of(fixture.targets.getFirst());
        }

        @Override
        public List<String> tokens() {
            return tokens;
        }
    }

    private final Router owner = new Router(OWNER);
    private final Router backup = new Router(BACKUP);

    private void openAndReplicate() {
        owner.commands.addAll(owner.replicator.open(source, fixture.now));
        owner.deliverTo(backup);
        tokens.add("t0");
        owner.tick(600);
        owner.deliverTo(backup);
    }

    /** Guards against the loss of a response when both its engine and its router die. */
    @Test
    void deltasReachTheBackupAndANewBackupReceivesTheFullCheckpoint() {
        openAndReplicate();
        tokens.add("t1");
        owner.tick(250);
        assertThat(owner.sentMessages(PeerMessage.CheckpointAppend.class)).hasSize(1);
        owner.deliverTo(backup);

        Router next = new Router(new HostId("router-2"));
        owner.markDead(BACKUP);
        owner.tick(50);
        owner.deliverTo(next);

        for (Router router : List.of(backup, next)) {
            router.receive(OWNER, new PeerMessage.CheckpointQuery(7, spec.ledgerKey()));
            Checkpoint checkpoint = router.sentMessages(PeerMessage.CheckpointReply.class)
                    .getLast()
                    .checkpoint()
                    .orElseThrow();
            assertThat(checkpoint.tokens()).containsExactly("t0", "t1").inOrder();
            assertThat(checkpoint.version()).isEqualTo("v1");
        }
    }

    /**
     * Guards against requests of a dead router that never get a record, or get one while the client is reconnecting.
     */
    @Test
    void requestOfDeadOwnerIsClosedOnceAfterThirtySeconds() {
        openAndReplicate();
        backup.markDead(OWNER);
        backup.tick(29_900);
        assertThat(fixture.records()).isEmpty();

        backup.tick(60_000);

        assertThat(fixture.records()).hasSize(1);
        assertThat(fixture.records().getFirst().outcome()).isEqualTo(Outcome.ABANDONED);
        assertThat(fixture.records().getFirst().executionStatus()).isEqualTo(ExecutionStatus.RAN);
        assertThat(backup.commands.stream()
                        .filter(RequestCommand.CancelAttempt.class::isInstance)
                        .count())
                .isEqualTo(1);
    }

    /** Guards against two routers that serve the same request, and against the use of an outdated checkpoint. */
    @Test
    void liveOwnerHandsOverItsLatestStateAndStops() {
        openAndReplicate();
        tokens.add("t1");
        Router third = new Router(new HostId("router-3"));
        third.commands.addAll(third.replicator.search(spec, 0, SEARCH_TIMEOUT_MILLIS, fixture.now));
        List<Command> queries = List.copyOf(third.commands);
        third.deliverTo(backup);
        backup.deliverTo(third);
        third.deliverTo(owner);
        assertThat(queries).isNotEmpty();
        assertThat(owner.commands).contains(new Command.Raise(new RequestEvent.TakenOver(spec.id())));
        owner.deliverTo(third);

        assertThat(third.foundCheckpoint().orElseThrow().tokens())
                .containsExactly("t0", "t1")
                .inOrder();
    }

    /** Guards against a reconnecting client that waits for a router which has died but is not yet known to be dead. */
    @Test
    void searchEndsAtItsTimeoutAndHandoverAfterHalfASecond() {
        openAndReplicate();
        Router third = new Router(new HostId("router-3"));
        third.commands.addAll(third.replicator.search(spec, 0, SEARCH_TIMEOUT_MILLIS, fixture.now));
        third.deliverTo(backup);
        backup.deliverTo(third);
        assertThat(third.sentMessages(PeerMessage.HandoverRequest.class)).hasSize(1);
        third.tick(50);
        third.tick(CheckpointSearches.HANDOVER_TIMEOUT_MILLIS);
        assertThat(third.foundCheckpoint().orElseThrow().tokens()).containsExactly("t0");

        Router fourth = new Router(new HostId("router-2"));
        fourth.commands.addAll(fourth.replicator.search(spec, 0, SEARCH_TIMEOUT_MILLIS, fixture.now));
        fourth.tick(SEARCH_TIMEOUT_MILLIS - 50);
        assertThat(fourth.finishedSearches()).isEmpty();
        fourth.tick(50);
        assertThat(fourth.foundCheckpoint()).isEmpty();
        // A search that times out proves nothing, and must not close a request that is open at another router.
        assertThat(fourth.finishedSearches().getFirst().conclusive()).isFalse();
    }

    /** Guards against a paused owner that continues to serve a request after another router has taken it over. */
    @Test
    void backupNotifiesASupersededOwner() {
        openAndReplicate();
        HostId successor = new HostId("router-3");
        backup.receive(
                successor,
                new PeerMessage.CheckpointSave(
                        new Checkpoint(spec, successor, Optional.empty(), Optional.empty(), "v1", List.of("t0"))));
        tokens.add("t1");
        owner.tick(250);
        owner.deliverTo(backup);
        backup.deliverTo(owner);

        assertThat(owner.commands).contains(new Command.Raise(new RequestEvent.TakenOver(spec.id())));
    }

    /** Guards against a client that has tokens which are lost when both its router and its engine die. */
    @Test
    void newTokensAreSentToTheBackupBeforeTheClientGetsThem() {
        openAndReplicate();
        owner.tick(OwnedCheckpoints.REPLICATION_DELAY_MILLIS);
        owner.deliverTo(backup);
        tokens.add("t1");
        owner.commands.addAll(owner.replicator.replicateTokens(source, fixture.now));
        owner.deliverTo(backup);

        Router third = new Router(new HostId("router-3"));
        third.commands.addAll(third.replicator.search(spec, 0, SEARCH_TIMEOUT_MILLIS, fixture.now));
        third.deliverTo(backup);
        backup.deliverTo(third);
        third.tick(50);
        third.tick(CheckpointSearches.HANDOVER_TIMEOUT_MILLIS);
        assertThat(third.foundCheckpoint().orElseThrow().tokens())
                .containsExactly("t0", "t1")
                .inOrder();
    }
}
