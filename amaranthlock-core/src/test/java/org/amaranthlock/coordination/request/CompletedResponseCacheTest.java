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

    /** A coordinator with its real keeper; raised events and peer messages are delivered at once. */
    private final class Router {
        private final HostId id;
        private final FakeMembership membership;
        private final CheckpointReplicator keeper;
        private final RequestCoordinator coordinator;
        private final List<Command> toCallers = new ArrayList<>();

        Router(String name) {
            id = new HostId(name);
            membership = new FakeMembership(name);
            RequestDependencies fake = fixture.services;
            keeper =
                    new CheckpointReplicator(membership, fake.targets(), fake.ledger(), new OperationNumberGenerator());
            coordinator = new RequestCoordinator(new RequestDependencies(
                    membership,
                    fake.configuration(),
                    fake.targets(),
                    fake.selector(),
                    fake.admission(),
                    fake.ledger(),
                    fake.poison(),
                    keeper));
        }

        void handle(Event first) {
            Deque<Event> events = new ArrayDeque<>(List.of(first));
            while (!events.isEmpty()) {
                Event event = events.remove();
                List<Command> commands = new ArrayList<>(keeper.handle(event, fixture.now));
                commands.addAll(coordinator.handle(event, fixture.now));
                for (Command command : commands) {
                    switch (command) {
                        case Command.Raise raise -> events.add(raise.event());
                        case Command.SendPeer sent -> {
                            if (!membership.isDead(sent.to())) {
                                routers.get(sent.to()).handle(new Event.PeerReceived(id, sent.message()));
                            }
                        }
                        default -> toCallers.add(command);
                    }
                }
            }
        }

        <T> List<T> sent(Class<T> type) {
            return toCallers.stream().filter(type::isInstance).map(type::cast).toList();
        }

        void comesBack(RequestSpec spec, int resumeAt) {
            toCallers.clear();
            handle(new RequestEvent.Arrived(spec, OptionalInt.of(resumeAt)));
        }
    }

    private Router router(int number) {
        return routers.get(new HostId("router-" + number));
    }

    private void pass(long millis) {
        for (long end = fixture.now + millis; fixture.now < end; ) {
            fixture.now += 50;
            routers.values().forEach(router -> router.handle(new Event.Tick()));
        }
    }

    /** Completes a generation of five tokens on a router; the last two come with its end. */
    private void complete(Router router, RequestSpec spec) {
        pass(50);
        router.handle(new RequestEvent.Arrived(spec, OptionalInt.empty()));
        AttemptId attempt =
                router.sent(RequestCommand.OpenStream.class).getLast().attempt();
        router.handle(new RequestEvent.TokensReceived(attempt, 0, List.of("t0")));
        pass(550);
        router.handle(new RequestEvent.TokensReceived(attempt, 1, List.of("t1", "t2")));
        router.handle(new RequestEvent.TokensReceived(attempt, 3, List.of("t3", "t4")));
        router.handle(new RequestEvent.StreamEnded(attempt, "stop", 5));
        assertThat(fixture.records()).hasSize(1);
    }

    /** Guards against an answer without its end because the caller's connection died under the last tokens. */
    @Test
    void reconnectingClientGetsTheEndOnEveryRouterWithoutASecondRecord() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        complete(router(1), spec);

        for (int number : new int[] {1, 0, 2, 3}) {
            router(number).comesBack(spec, 2);

            RequestCommand.DeliverTokens rest =
                    router(number).sent(RequestCommand.DeliverTokens.class).getLast();
            assertThat(rest.firstIndex()).isEqualTo(2);
            assertThat(rest.tokens()).containsExactly("t2", "t3", "t4").inOrder();
            RequestCommand.CompleteStream end =
                    router(number).sent(RequestCommand.CompleteStream.class).getLast();
            assertThat(end.reason()).isEqualTo("stop");
            assertThat(end.record()).isEqualTo(fixture.records().getFirst());
        }
        pass(60_000);
        assertThat(fixture.records()).hasSize(1);
    }

    /** Guards against the loss of the end together with the router that completed the answer. */
    @Test
    void backupHasTheEndWhenTheRouterThatCompletedItDies() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        complete(router(1), spec);
        routers.values().forEach(router -> router.membership.dead.add(router(1).id));

        router(3).comesBack(spec, 5);

        assertThat(router(3).sent(RequestCommand.DeliverTokens.class)).isEmpty();
        assertThat(router(3).sent(RequestCommand.CompleteStream.class)).hasSize(1);
        pass(60_000);
        // The keeper can't know whether the record of the dead router lasts, so it hands in the very same one again.
        assertThat(Set.copyOf(fixture.records())).hasSize(1);
    }

    /** Guards against a completed request that gets the record of an abandoned one because its owner died. */
    @Test
    void backupClosesACompleteResponseWithItsOwnRecord() {
        RequestSpec spec = fixture.generation("key", ProfileKind.KEPT_ALIVE, 100);
        Checkpoint open = new Checkpoint(
                spec, router(1).id, Optional.empty(), Optional.empty(), "v1", Collections.nCopies(2, "t"));
        OutcomeRecord record = answer("key", 3).record();
        CompletedResponse end = new CompletedResponse(record, spec.id(), 7, "stop", List.of("end"));
        router(0).handle(new Event.PeerReceived(router(1).id, new PeerMessage.CheckpointSave(open)));
        router(0).handle(new Event.PeerReceived(router(1).id, new PeerMessage.CompletedResponseSave(2, end)));
        routers.values().forEach(router -> router.membership.dead.add(router(1).id));
        pass(60_000);

        assertThat(fixture.records()).containsExactly(record);
    }

    /** Guards against memory that grows with the past, and against a promise longer than the stated time. */
    @Test
    void anAnswerIsKeptForThirtySeconds() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        complete(router(1), spec);
        pass(CompletedResponseCache.RETENTION_MILLIS);

        router(1).comesBack(spec, 2);
        pass(RequestCoordinator.RETURN_SEARCH_MILLIS);

        assertThat(router(1)
                        .sent(RequestCommand.Refuse.class)
                        .getLast()
                        .refusal()
                        .code())
                .isEqualTo(ErrorCode.RESUME_UNAVAILABLE);
    }

    /** Guards against two generations in one answer when a key was used again. */
    @Test
    void clientOfAnotherGenerationUnderTheSameKeyGetsNoTokensOfThisOne() {
        complete(router(1), fixture.generation("a", ProfileKind.KEPT_ALIVE, 100));

        for (int number : new int[] {1, 3}) {
            router(number).comesBack(fixture.generation("other", ProfileKind.KEPT_ALIVE, 100), 2);
            pass(RequestCoordinator.RETURN_SEARCH_MILLIS);

            assertThat(router(number).sent(RequestCommand.DeliverTokens.class)).isEmpty();
            assertThat(router(number)
                            .sent(RequestCommand.Refuse.class)
                            .getLast()
                            .refusal()
                            .code())
                    .isEqualTo(ErrorCode.RESUME_UNAVAILABLE);
        }
    }

    /** Guards against the answer to another content under a key that was used twice. */
    @Test
    void aKeyWithAnotherContentIsRefused() {
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

        router(3).comesBack(other, 2);

        assertThat(router(3).sent(RequestCommand.DeliverTokens.class)).isEmpty();
        assertThat(router(3)
                        .sent(RequestCommand.Refuse.class)
                        .getLast()
                        .refusal()
                        .code())
                .isEqualTo(ErrorCode.KEY_REUSED);
    }

    private CompletedResponse answer(String key, int tokens) {
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

    /** Guards against the loss of memory to long answers. */
    @Test
    void theOldestAnswerGivesWayAtTheBound() {
        CompletedResponseCache answers = new CompletedResponseCache();
        int third = CompletedResponseCache.MAX_TOKENS / 3;
        for (int i = 0; i < 3; i++) {
            answers.add(answer("key-" + i, third), 0);
        }
        assertThat(answers.find("shop/key-0")).isEmpty();
        assertThat(answers.find("shop/key-1")).isPresent();
        assertThat(answers.find("shop/key-2")).isPresent();

        answers.add(answer("key-2", 1), 0);
        answers.add(answer("key-3", third), 0);
        assertThat(answers.find("shop/key-1")).isPresent();
    }
}
