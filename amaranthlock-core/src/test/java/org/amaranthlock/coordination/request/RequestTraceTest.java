package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.coordination.poison.DefaultPoisonRegistry;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Guards against an operator who can't see in the timeline what became of a request. */
class RequestTraceTest {
    private static final HostId FORMER = new HostId("router-1");

    private final RequestFixture fixture = RequestFixture.withTargets(
            6, Capability.RESUME, Capability.ATTACH, Capability.RECONCILE, Capability.FENCING);

    private static List<String> kinds(List<Command> commands) {
        return commands.stream()
                .filter(Command.RecordTimelineEvent.class::isInstance)
                .map(command -> ((Command.RecordTimelineEvent) command).kind())
                .toList();
    }

    private String text(String kind) {
        return fixture.all(Command.RecordTimelineEvent.class).stream()
                .filter(trace -> trace.kind().equals(kind))
                .findFirst()
                .orElseThrow()
                .text();
    }

    private void token(AttemptId attempt, int index) {
        fixture.send(new RequestEvent.TokensReceived(attempt, index, List.of("t" + index)));
    }

    private AttemptId start(RequestSpec spec) {
        fixture.send(new RequestEvent.Arrived(spec, OptionalInt.empty()));
        return fixture.last(RequestCommand.OpenStream.class).attempt();
    }

    @Test
    void lostAndResumedGenerationIsTracedWithoutAnEntryPerToken() {
        RequestSpec spec = fixture.generation("a", ProfileKind.RETRIABLE, 100);
        AttemptId first = start(spec);
        for (int index = 0; index < 20; index++) {
            token(first, index);
        }
        fixture.fail(first, FailureKind.LOST);
        AttemptId second = fixture.last(RequestCommand.OpenStream.class).attempt();
        token(second, 20);
        fixture.send(new RequestEvent.StreamEnded(second, "stop", 21));

        assertThat(kinds(fixture.commands))
                .containsExactly(
                        "attempt-started", "attempt-lost", "attempt-started", "answer-resumed", "request-completed")
                .inOrder();
        assertThat(fixture.all(Command.RecordTimelineEvent.class).getFirst().subject())
                .isEqualTo(spec.id().value());
        assertThat(text("attempt-lost")).isEqualTo("Attempt 1 on target-0 was lost after 20 tokens: LOST test.");
        assertThat(text("answer-resumed")).isEqualTo("The answer goes on at token 20 by a new attempt on target-1.");
        assertThat(text("request-completed")).isEqualTo("Completed with 21 tokens in 2 attempts.");
    }

    @Test
    void takeoverAndHandoverAreTracedOnTheRoutersThatMakeThem() {
        RequestSpec first = fixture.generation("first", ProfileKind.KEPT_ALIVE, 100);
        Checkpoint checkpoint = new Checkpoint(
                first,
                FORMER,
                Optional.of(new AttemptId(first.id(), 3)),
                Optional.of(fixture.targets.getFirst().id()),
                "v1",
                List.of("t0", "t1"));
        // The caller names the request of its tokens in Last-Event-ID.
        fixture.send(new RequestEvent.Arrived(first, OptionalInt.of(1)));
        fixture.send(new RequestEvent.CheckpointFound(first.id(), Optional.of(checkpoint), true));
        fixture.send(new RequestEvent.TakenOver(first.id()));

        assertThat(kinds(fixture.commands))
                .containsExactly("request-taken-over", "answer-resumed", "request-handed-over")
                .inOrder();
        assertThat(text("request-taken-over")).contains("router-1");
        assertThat(text("answer-resumed")).contains("attaching");
    }

    @Test
    void failedSearchAndItsRefusalAreTraced() {
        for (boolean conclusive : new boolean[] {false, true}) {
            RequestSpec back = fixture.generation("back-" + conclusive, ProfileKind.KEPT_ALIVE, 100);
            fixture.send(new RequestEvent.Arrived(back, OptionalInt.of(1)));
            List<Command> told =
                    fixture.send(new RequestEvent.CheckpointFound(back.id(), Optional.empty(), conclusive));
            assertThat(kinds(told))
                    .containsExactly("checkpoint-missing", "request-refused")
                    .inOrder();
        }
        assertThat(fixture.last(Command.RecordTimelineEvent.class).text()).contains("fate RAN");
    }

    @Test
    void backupTracesThatItClosedARequest() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        CheckpointReplicator keeper = new CheckpointReplicator(
                fixture.membership,
                fixture.services.targets(),
                fixture.services.ledger(),
                new OperationNumberGenerator());
        Checkpoint open = new Checkpoint(spec, FORMER, Optional.empty(), Optional.empty(), "", List.of());
        keeper.handle(new Event.PeerReceived(FORMER, new PeerMessage.CheckpointSave(open)), fixture.now);
        fixture.membership.dead.add(FORMER);
        keeper.handle(new Event.Tick(), fixture.now);

        List<Command> told = keeper.handle(new Event.Tick(), fixture.now + CheckpointReplicas.CLIENT_RETURN_MILLIS);

        assertThat(kinds(told)).containsExactly("request-abandoned");
    }

    @Test
    void orderInDoubtIsTracedUntilItIsReconciled() {
        RequestSpec order = fixture.order("a");
        fixture.send(new RequestEvent.Arrived(order, OptionalInt.empty()));
        fixture.send(new RequestEvent.ClaimDecided(order.id(), new ClaimResult.Granted(5)));
        fixture.fail(fixture.last(RequestCommand.CallService.class).attempt(), FailureKind.LOST);
        AttemptId query = fixture.last(RequestCommand.Reconcile.class).attempt();
        fixture.send(new RequestEvent.Reconciled(query, Optional.<ServiceResponse>empty()));

        assertThat(kinds(fixture.commands))
                .containsExactly("order-dispatched", "order-in-doubt", "order-reconciled", "request-refused")
                .inOrder();
        assertThat(text("order-dispatched")).contains("fence 5");
        assertThat(text("order-reconciled")).contains("NOT_RUN");
    }

    @Test
    void poisonSuspicionAndConfirmationAreTraced() {
        RequestDependencies fake = fixture.services;
        RequestCoordinator coordinator = new RequestCoordinator(new RequestDependencies(
                fake.membership(),
                fake.configuration(),
                fake.targets(),
                fake.selector(),
                fake.admission(),
                fake.ledger(),
                new DefaultPoisonRegistry(),
                fake.checkpoints()));
        RequestSpec spec = fixture.generation("a", ProfileKind.RETRIABLE, 100);
        fixture.commands.addAll(coordinator.handle(new RequestEvent.Arrived(spec, OptionalInt.empty()), fixture.now));
        for (int death = 0; death < 2; death++) {
            RequestCommand.OpenStream open = fixture.last(RequestCommand.OpenStream.class);
            Event lost = new RequestEvent.AttemptFailed(open.attempt(), FailureKind.LOST, "test", OptionalLong.empty());
            fixture.commands.addAll(coordinator.handle(lost, fixture.now));
            Event died = new TargetEvent.Unreachable(open.target().id());
            fixture.commands.addAll(coordinator.handle(died, fixture.now));
        }

        assertThat(kinds(fixture.commands)).containsAtLeast("poison-suspected", "poison-condemned");
    }
}
