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

/** Guards against a timeline that does not show an operator how a request was processed. */
class RequestTraceTest {
    private static final HostId FORMER_OWNER = new HostId("router-1");

    private final RequestFixture fixture = RequestFixture.withTargets(
            6, Capability.RESUME, Capability.ATTACH, Capability.RECONCILE, Capability.FENCING);

    private static List<String> traceKinds(List<Command> commands) {
        return commands.stream()
                .filter(Command.RecordTimelineEvent.class::isInstance)
                .map(command -> ((Command.RecordTimelineEvent) command).kind())
                .toList();
    }

    private String traceText(String kind) {
        return fixture.commandsOfType(Command.RecordTimelineEvent.class).stream()
                .filter(trace -> trace.kind().equals(kind))
                .findFirst()
                .orElseThrow()
                .text();
    }

    private void sendToken(AttemptId attempt, int index) {
        fixture.send(new RequestEvent.TokensReceived(attempt, index, List.of("t" + index)));
    }

    private AttemptId startGeneration(RequestSpec spec) {
        fixture.send(new RequestEvent.Arrived(spec, OptionalInt.empty()));
        return fixture.lastCommand(RequestCommand.OpenStream.class).attempt();
    }

    @Test
    void lostAndResumedGenerationIsTracedWithoutAnEntryPerToken() {
        RequestSpec spec = fixture.generation("a", ProfileKind.RETRIABLE, 100);
        AttemptId first = startGeneration(spec);
        for (int index = 0; index < 20; index++) {
            sendToken(first, index);
        }
        fixture.failAttempt(first, FailureKind.LOST);
        AttemptId second = fixture.lastCommand(RequestCommand.OpenStream.class).attempt();
        sendToken(second, 20);
        fixture.send(new RequestEvent.StreamEnded(second, "stop", 21));

        assertThat(traceKinds(fixture.commands))
                .containsExactly(
                        "attempt-started", "attempt-lost", "attempt-started", "answer-resumed", "request-completed")
                .inOrder();
        assertThat(fixture.commandsOfType(Command.RecordTimelineEvent.class)
                        .getFirst()
                        .subject())
                .isEqualTo(spec.id().value());
        assertThat(traceText("attempt-lost")).isEqualTo("Attempt 1 on target-0 was lost after 20 tokens: LOST test.");
        assertThat(traceText("answer-resumed"))
                .isEqualTo("The response resumes at token 20 by a new attempt on target-1.");
        assertThat(traceText("request-completed")).isEqualTo("Completed with 21 tokens in 2 attempts.");
    }

    @Test
    void takeoverAndHandoverAreTraced() {
        RequestSpec first = fixture.generation("first", ProfileKind.KEPT_ALIVE, 100);
        Checkpoint checkpoint = new Checkpoint(
                first,
                FORMER_OWNER,
                Optional.of(new AttemptId(first.id(), 3)),
                Optional.of(fixture.targets.getFirst().id()),
                "v1",
                List.of("t0", "t1"));
        // Last-Event-ID contains the id of the request whose tokens the client has.
        fixture.send(new RequestEvent.Arrived(first, OptionalInt.of(1)));
        fixture.send(new RequestEvent.CheckpointSearchCompleted(first.id(), Optional.of(checkpoint), true));
        fixture.send(new RequestEvent.TakenOver(first.id()));

        assertThat(traceKinds(fixture.commands))
                .containsExactly("request-taken-over", "answer-resumed", "request-handed-over")
                .inOrder();
        assertThat(traceText("request-taken-over")).contains("router-1");
        assertThat(traceText("answer-resumed")).contains("attaching");
    }

    @Test
    void failedSearchAndItsRefusalAreTraced() {
        for (boolean conclusive : new boolean[] {false, true}) {
            RequestSpec reconnecting = fixture.generation("back-" + conclusive, ProfileKind.KEPT_ALIVE, 100);
            fixture.send(new RequestEvent.Arrived(reconnecting, OptionalInt.of(1)));
            List<Command> commands = fixture.send(
                    new RequestEvent.CheckpointSearchCompleted(reconnecting.id(), Optional.empty(), conclusive));
            assertThat(traceKinds(commands))
                    .containsExactly("checkpoint-missing", "request-refused")
                    .inOrder();
        }
        assertThat(fixture.lastCommand(Command.RecordTimelineEvent.class).text())
                .contains("execution status RAN");
    }

    @Test
    void backupTracesThatItClosedARequest() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        CheckpointReplicator replicator = new CheckpointReplicator(
                fixture.membership,
                fixture.dependencies.targets(),
                fixture.dependencies.ledger(),
                new OperationNumberGenerator());
        Checkpoint open = new Checkpoint(spec, FORMER_OWNER, Optional.empty(), Optional.empty(), "", List.of());
        replicator.handle(new Event.PeerReceived(FORMER_OWNER, new PeerMessage.CheckpointSave(open)), fixture.now);
        fixture.membership.dead.add(FORMER_OWNER);
        replicator.handle(new Event.Tick(), fixture.now);

        List<Command> commands =
                replicator.handle(new Event.Tick(), fixture.now + CheckpointReplicas.CLIENT_RECONNECT_TIMEOUT_MILLIS);

        assertThat(traceKinds(commands)).containsExactly("request-abandoned");
    }

    @Test
    void orderInDoubtIsTracedUntilItIsReconciled() {
        RequestSpec order = fixture.order("a");
        fixture.send(new RequestEvent.Arrived(order, OptionalInt.empty()));
        fixture.send(new RequestEvent.ClaimDecided(order.id(), new ClaimResult.Granted(5)));
        fixture.failAttempt(
                fixture.lastCommand(RequestCommand.CallService.class).attempt(), FailureKind.LOST);
        AttemptId query = fixture.lastCommand(RequestCommand.Reconcile.class).attempt();
        fixture.send(new RequestEvent.Reconciled(query, Optional.<ServiceResponse>empty()));

        assertThat(traceKinds(fixture.commands))
                .containsExactly("order-dispatched", "order-in-doubt", "order-reconciled", "request-refused")
                .inOrder();
        assertThat(traceText("order-dispatched")).contains("fence 5");
        assertThat(traceText("order-reconciled")).contains("NOT_RUN");
    }

    @Test
    void poisonSuspicionAndConfirmationAreTraced() {
        RequestDependencies dependencies = fixture.dependencies;
        RequestCoordinator coordinator = new RequestCoordinator(new RequestDependencies(
                dependencies.membership(),
                dependencies.configuration(),
                dependencies.targets(),
                dependencies.selector(),
                dependencies.admission(),
                dependencies.ledger(),
                new DefaultPoisonRegistry(),
                dependencies.checkpoints()));
        RequestSpec spec = fixture.generation("a", ProfileKind.RETRIABLE, 100);
        fixture.commands.addAll(coordinator.handle(new RequestEvent.Arrived(spec, OptionalInt.empty()), fixture.now));
        for (int crash = 0; crash < 2; crash++) {
            RequestCommand.OpenStream open = fixture.lastCommand(RequestCommand.OpenStream.class);
            Event lost = new RequestEvent.AttemptFailed(open.attempt(), FailureKind.LOST, "test", OptionalLong.empty());
            fixture.commands.addAll(coordinator.handle(lost, fixture.now));
            Event unreachable = new TargetEvent.Unreachable(open.target().id());
            fixture.commands.addAll(coordinator.handle(unreachable, fixture.now));
        }

        assertThat(traceKinds(fixture.commands)).containsAtLeast("poison-suspected", "poison-condemned");
    }
}
