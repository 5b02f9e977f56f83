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
    private static final long TIMEOUT_MILLIS = 300;
    private static final HostId OWNER = new HostId("router-1");
    private static final HostId KEEPER = new HostId("router-0");

    private final RequestFixture fixture = RequestFixture.withTargets(1);
    private final RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
    private final AttemptId attempt = new AttemptId(spec.id(), 1);
    private final List<String> tokens = new ArrayList<>();
    private final CheckpointSource source = new Source();

    /** One router with its own view, whose messages a test passes on. */
    private final class Router {
        private final FakeMembership membership;
        private final CheckpointReplicator keeper;
        private final HostId id;
        private final List<Command> commands = new ArrayList<>();

        Router(HostId id) {
            this.id = id;
            this.membership = new FakeMembership(id.value());
            RequestDependencies services = fixture.services;
            this.keeper = new CheckpointReplicator(
                    membership, services.targets(), services.ledger(), new OperationNumberGenerator());
        }

        void tick(long millis) {
            for (long end = fixture.now + millis; fixture.now < end; ) {
                fixture.now += 50;
                commands.addAll(keeper.handle(new Event.Tick(), fixture.now));
            }
        }

        void receive(HostId from, PeerMessage message) {
            commands.addAll(keeper.handle(new Event.PeerReceived(from, message), fixture.now));
        }

        /** Delivers all messages of this router to another one and forgets them. */
        void passTo(Router other) {
            for (Command command : List.copyOf(commands)) {
                if (command instanceof Command.SendPeer sent && sent.to().equals(other.id)) {
                    other.receive(id, sent.message());
                }
            }
            commands.clear();
        }

        <T> List<T> sent(Class<T> type) {
            return commands.stream()
                    .filter(Command.SendPeer.class::isInstance)
                    .map(command -> ((Command.SendPeer) command).message())
                    .filter(type::isInstance)
                    .map(type::cast)
                    .toList();
        }

        List<RequestEvent.CheckpointFound> searchesEnded() {
            return commands.stream()
                    .filter(Command.Raise.class::isInstance)
                    .map(command -> ((Command.Raise) command).event())
                    .filter(RequestEvent.CheckpointFound.class::isInstance)
                    .map(RequestEvent.CheckpointFound.class::cast)
                    .toList();
        }

        Optional<Checkpoint> found() {
            return commands.stream()
                    .filter(Command.Raise.class::isInstance)
                    .map(command -> ((Command.Raise) command).event())
                    .filter(RequestEvent.CheckpointFound.class::isInstance)
                    .map(event -> ((RequestEvent.CheckpointFound) event).checkpoint())
                    .findFirst()
                    .orElseThrow();
        }

        void die(HostId host) {
            membership.dead.add(host);
        }
    }

    private final class Source implements CheckpointSource {
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
    private final Router keeper = new Router(KEEPER);

    private void open() {
        owner.commands.addAll(owner.keeper.open(source, fixture.now));
        owner.passTo(keeper);
        tokens.add("t0");
        owner.tick(600);
        owner.passTo(keeper);
    }

    /** Guards against the loss of an answer together with its engine and its router. */
    @Test
    void deltasReachTheBackupAndADeadBackupIsReplacedByAWholeCheckpoint() {
        open();
        tokens.add("t1");
        owner.tick(250);
        assertThat(owner.sent(PeerMessage.CheckpointAppend.class)).hasSize(1);
        owner.passTo(keeper);

        Router next = new Router(new HostId("router-2"));
        owner.die(KEEPER);
        owner.tick(50);
        owner.passTo(next);

        for (Router holder : List.of(keeper, next)) {
            holder.receive(OWNER, new PeerMessage.CheckpointQuery(7, spec.ledgerKey()));
            Checkpoint held = holder.sent(PeerMessage.CheckpointReply.class)
                    .getLast()
                    .checkpoint()
                    .orElseThrow();
            assertThat(held.tokens()).containsExactly("t0", "t1").inOrder();
            assertThat(held.version()).isEqualTo("v1");
        }
    }

    /** Guards against requests of a dead router that never get a record, or get it while the caller returns. */
    @Test
    void aDeadOwnersRequestIsClosedOnceAfterThirtySeconds() {
        open();
        keeper.die(OWNER);
        keeper.tick(29_900);
        assertThat(fixture.records()).isEmpty();

        keeper.tick(60_000);

        assertThat(fixture.records()).hasSize(1);
        assertThat(fixture.records().getFirst().outcome()).isEqualTo(Outcome.ABANDONED);
        assertThat(fixture.records().getFirst().executionStatus()).isEqualTo(ExecutionStatus.RAN);
        assertThat(keeper.commands.stream()
                        .filter(RequestCommand.CancelAttempt.class::isInstance)
                        .count())
                .isEqualTo(1);
    }

    /** Guards against two routers that serve one request, and against the use of an old checkpoint. */
    @Test
    void aLiveOwnerHandsOverItsNewestStateAndStops() {
        open();
        tokens.add("t1");
        Router third = new Router(new HostId("router-3"));
        third.commands.addAll(third.keeper.search(spec, 0, TIMEOUT_MILLIS, fixture.now));
        List<Command> queries = List.copyOf(third.commands);
        third.passTo(keeper);
        keeper.passTo(third);
        third.passTo(owner);
        assertThat(queries).isNotEmpty();
        assertThat(owner.commands).contains(new Command.Raise(new RequestEvent.TakenOver(spec.id())));
        owner.passTo(third);

        assertThat(third.found().orElseThrow().tokens())
                .containsExactly("t0", "t1")
                .inOrder();
    }

    /** Guards against a returning caller that waits for a router which is gone but not yet known to be dead. */
    @Test
    void aSearchEndsAtItsTimeoutAndAHandoverAfterHalfASecond() {
        open();
        Router third = new Router(new HostId("router-3"));
        third.commands.addAll(third.keeper.search(spec, 0, TIMEOUT_MILLIS, fixture.now));
        third.passTo(keeper);
        keeper.passTo(third);
        assertThat(third.sent(PeerMessage.HandoverRequest.class)).hasSize(1);
        third.tick(50);
        third.tick(CheckpointSearches.HANDOVER_MILLIS);
        assertThat(third.found().orElseThrow().tokens()).containsExactly("t0");

        Router fourth = new Router(new HostId("router-2"));
        fourth.commands.addAll(fourth.keeper.search(spec, 0, TIMEOUT_MILLIS, fixture.now));
        fourth.tick(TIMEOUT_MILLIS - 50);
        assertThat(fourth.searchesEnded()).isEmpty();
        fourth.tick(50);
        assertThat(fourth.found()).isEmpty();
        // Absence that nobody confirmed must not close a request that is open elsewhere.
        assertThat(fourth.searchesEnded().getFirst().conclusive()).isFalse();
    }

    /** Guards against a paused owner that serves on after another router took its request over. */
    @Test
    void backupNotifiesASupersededOwner() {
        open();
        HostId successor = new HostId("router-3");
        keeper.receive(
                successor,
                new PeerMessage.CheckpointSave(
                        new Checkpoint(spec, successor, Optional.empty(), Optional.empty(), "v1", List.of("t0"))));
        tokens.add("t1");
        owner.tick(250);
        owner.passTo(keeper);
        keeper.passTo(owner);

        assertThat(owner.commands).contains(new Command.Raise(new RequestEvent.TakenOver(spec.id())));
    }

    /** Guards against a caller that holds tokens which die with its router and its engine. */
    @Test
    void newTokensAreSentToTheBackupBeforeTheClientGetsThem() {
        open();
        owner.tick(OwnedCheckpoints.REPLICATION_DELAY_MILLIS);
        owner.passTo(keeper);
        tokens.add("t1");
        owner.commands.addAll(owner.keeper.replicateTokens(source, fixture.now));
        owner.passTo(keeper);

        Router third = new Router(new HostId("router-3"));
        third.commands.addAll(third.keeper.search(spec, 0, TIMEOUT_MILLIS, fixture.now));
        third.passTo(keeper);
        keeper.passTo(third);
        third.tick(50);
        third.tick(CheckpointSearches.HANDOVER_MILLIS);
        assertThat(third.found().orElseThrow().tokens())
                .containsExactly("t0", "t1")
                .inOrder();
    }
}
