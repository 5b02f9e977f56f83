package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.CompletedResponse;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class CompletedResponseCacheTest {
    private final RequestFixture fixture = RequestFixture.withTargets(1);
    private final Map<HostId, Router> routers = new LinkedHashMap<>();

    CompletedResponseCacheTest() {
        for (int i = 0; i < 4; i++) {
            Router router = new Router("router-" + i);
            routers.put(router.id, router);
        }
    }

    /** Coordinator with a real checkpoint replicator; raised events and peer messages are delivered immediately. */
    private final class Router {
        private final HostId id;
        private final FakeMembership membership;
        private final CheckpointReplicator replicator;
        private final RequestCoordinator coordinator;
        private final List<Command> recordedCommands = new ArrayList<>();

        Router(String name) {
            id = new HostId(name);
            membership = new FakeMembership(name);
            RequestDependencies dependencies = fixture.dependencies;
            replicator = new CheckpointReplicator(
                    membership, dependencies.targets(), dependencies.ledger(), new OperationNumberGenerator());
            coordinator = new RequestCoordinator(new RequestDependencies(
                    membership,
                    dependencies.configuration(),
                    dependencies.targets(),
                    dependencies.selector(),
                    dependencies.admission(),
                    dependencies.ledger(),
                    dependencies.poison(),
                    replicator));
        }

        void handle(Event first) {
            Deque<Event> events = new ArrayDeque<>(List.of(first));
            while (!events.isEmpty()) {
                Event event = events.remove();
                List<Command> commands = new ArrayList<>(replicator.handle(event, fixture.now));
                commands.addAll(coordinator.handle(event, fixture.now));
                for (Command command : commands) {
                    switch (command) {
                        case Command.Raise raise -> events.add(raise.event());
                        case Command.SendPeer sent -> {
                            if (!membership.isDead(sent.to())) {
                                routers.get(sent.to()).handle(new Event.PeerReceived(id, sent.message()));
                            }
                        }
                        default -> recordedCommands.add(command);
                    }
                }
            }
        }

        <T> List<T> commandsOfType(Class<T> type) {
            return recordedCommands.stream()
                    .filter(type::isInstance)
                    .map(type::cast)
                    .toList();
        }

        void reconnectClient(RequestSpec spec, int resumeAt) {
            recordedCommands.clear();
            handle(new RequestEvent.Arrived(spec, OptionalInt.of(resumeAt)));
        }
    }

    private Router router(int number) {
        return routers.get(new HostId("router-" + number));
    }

    private void advance(long millis) {
        for (long end = fixture.now + millis; fixture.now < end; ) {
            fixture.now += 50;
            routers.values().forEach(router -> router.handle(new Event.Tick()));
        }
    }

    /** Completes a generation of five tokens at a router; the last two arrive together with its end. */
    private void complete(Router router, RequestSpec spec) {
        advance(50);
        router.handle(new RequestEvent.Arrived(spec, OptionalInt.empty()));
        AttemptId attempt =
                router.commandsOfType(RequestCommand.OpenStream.class).getLast().attempt();
        router.handle(new RequestEvent.TokensReceived(attempt, 0, List.of("t0")));
        advance(550);
        router.handle(new RequestEvent.TokensReceived(attempt, 1, List.of("t1", "t2")));
        router.handle(new RequestEvent.TokensReceived(attempt, 3, List.of("t3", "t4")));
        router.handle(new RequestEvent.StreamEnded(attempt, "stop", 5));
        assertThat(fixture.records()).hasSize(1);
    }

    /** Guards against a response without its end because the client's connection was lost with the last tokens. */
    @Test
    void reconnectingClientReceivesTheEndFromEveryRouterWithoutASecondRecord() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        complete(router(1), spec);

        for (int number : new int[] {1, 0, 2, 3}) {
            router(number).reconnectClient(spec, 2);

            RequestCommand.DeliverTokens rest = router(number)
                    .commandsOfType(RequestCommand.DeliverTokens.class)
                    .getLast();
            assertThat(rest.firstIndex()).isEqualTo(2);
            assertThat(rest.tokens()).containsExactly("t2", "t3", "t4").inOrder();
            RequestCommand.CompleteStream end = router(number)
                    .commandsOfType(RequestCommand.CompleteStream.class)
                    .getLast();
            assertThat(end.reason()).isEqualTo("stop");
            assertThat(end.record()).isEqualTo(fixture.records().getFirst());
        }
        advance(60_000);
        assertThat(fixture.records()).hasSize(1);
    }

    /** Guards against the loss of the end when the router that completed the response dies. */
    @Test
    void backupHasTheEndAfterTheCompletingRouterDies() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        complete(router(1), spec);
        routers.values().forEach(router -> router.membership.dead.add(router(1).id));

        router(3).reconnectClient(spec, 5);

        assertThat(router(3).commandsOfType(RequestCommand.DeliverTokens.class)).isEmpty();
        assertThat(router(3).commandsOfType(RequestCommand.CompleteStream.class))
                .hasSize(1);
        advance(60_000);
        // The backup cannot know whether the dead router's record is durable, so it submits the same record again.
        assertThat(Set.copyOf(fixture.records())).hasSize(1);
    }

    /** Guards against a completed request that is recorded as abandoned because its owner died. */
    @Test
    void backupClosesACompletedResponseWithItsOriginalRecord() {
        RequestSpec spec = fixture.generation("key", ProfileKind.KEPT_ALIVE, 100);
        Checkpoint open = new Checkpoint(
                spec, router(1).id, Optional.empty(), Optional.empty(), "v1", Collections.nCopies(2, "t"));
        OutcomeRecord record = completedResponse("key", 3).record();
        CompletedResponse end = new CompletedResponse(record, spec.id(), 7, "stop", List.of("end"));
        router(0).handle(new Event.PeerReceived(router(1).id, new PeerMessage.CheckpointSave(open)));
        router(0).handle(new Event.PeerReceived(router(1).id, new PeerMessage.CompletedResponseSave(2, end)));
        routers.values().forEach(router -> router.membership.dead.add(router(1).id));
        advance(60_000);

        assertThat(fixture.records()).containsExactly(record);
    }

    /** Guards against memory use that grows without limit, and against retention beyond the documented time. */
    @Test
    void responseIsRetainedForThirtySeconds() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        complete(router(1), spec);
        advance(CompletedResponseCache.RETENTION_MILLIS);

        router(1).reconnectClient(spec, 2);
        advance(RequestCoordinator.RECONNECT_SEARCH_TIMEOUT_MILLIS);

        assertThat(router(1)
                        .commandsOfType(RequestCommand.Refuse.class)
                        .getLast()
                        .refusal()
                        .code())
                .isEqualTo(ErrorCode.RESUME_UNAVAILABLE);
    }

    /** Guards against two generations mixed in one response when a key is used again. */
    @Test
    void clientOfAnotherGenerationWithTheSameKeyReceivesNoTokens() {
        complete(router(1), fixture.generation("a", ProfileKind.KEPT_ALIVE, 100));

        for (int number : new int[] {1, 3}) {
            router(number).reconnectClient(fixture.generation("other", ProfileKind.KEPT_ALIVE, 100), 2);
            advance(RequestCoordinator.RECONNECT_SEARCH_TIMEOUT_MILLIS);

            assertThat(router(number).commandsOfType(RequestCommand.DeliverTokens.class))
                    .isEmpty();
            assertThat(router(number)
                            .commandsOfType(RequestCommand.Refuse.class)
                            .getLast()
                            .refusal()
                            .code())
                    .isEqualTo(ErrorCode.RESUME_UNAVAILABLE);
        }
    }

    /** Guards against returning the response to different content when a key is used twice. */
    @Test
    void reusedKeyWithDifferentContentIsRefused() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        complete(router(1), spec);
        RequestSpec other = new RequestSpec(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile(),
                spec.key(),
                spec.fingerprint() + 1,
                spec.arrivedAtMillis(),
                spec.deadlineMillis(),
                spec.work());

        router(3).reconnectClient(other, 2);

        assertThat(router(3).commandsOfType(RequestCommand.DeliverTokens.class)).isEmpty();
        assertThat(router(3)
                        .commandsOfType(RequestCommand.Refuse.class)
                        .getLast()
                        .refusal()
                        .code())
                .isEqualTo(ErrorCode.KEY_REUSED);
    }

    private CompletedResponse completedResponse(String key, int tokens) {
        RequestSpec spec = new RequestSpec(
                new RequestId("01-" + key),
                new AccountId("shop"),
                RequestFixture.SERVICE,
                new Profile("profile", ProfileKind.KEPT_ALIVE, 3, 1, 1000),
                Optional.of(new IdempotencyKey(key)),
                1,
                0,
                1000,
                new Work.Generation("model", "", "prompt", List.of(), tokens, 1));
        OutcomeRecord record = new OutcomeRecord(
                spec.id(),
                spec.account(),
                spec.service(),
                "profile",
                spec.ledgerKey(),
                Outcome.COMPLETED,
                ExecutionStatus.RAN,
                "",
                200,
                new HostId("router-1"),
                List.of(),
                1,
                tokens,
                0,
                0,
                1);
        return new CompletedResponse(record, spec.id(), 1, "stop", Collections.nCopies(tokens, "t"));
    }

    /** Guards against memory exhaustion by long responses. */
    @Test
    void oldestResponseIsEvictedAtTheLimit() {
        CompletedResponseCache cache = new CompletedResponseCache();
        int third = CompletedResponseCache.MAX_TOKENS / 3;
        for (int i = 0; i < 3; i++) {
            cache.add(completedResponse("key-" + i, third), 0);
        }
        assertThat(cache.find("shop/key-0")).isEmpty();
        assertThat(cache.find("shop/key-1")).isPresent();
        assertThat(cache.find("shop/key-2")).isPresent();

        cache.add(completedResponse("key-2", 1), 0);
        cache.add(completedResponse("key-3", third), 0);
        assertThat(cache.find("shop/key-1")).isPresent();
    }
}
