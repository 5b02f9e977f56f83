package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.coordination.poison.PoisonRegistry.PoisonState;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.junit.jupiter.api.Test;

class RecoveryTest {
    private static final RequestId HOLDING_REQUEST = new RequestId("00-held");

    private final RequestFixture fixture = RequestFixture.withTargets(6, Capability.RESUME, Capability.ATTACH);

    /** Starts a retriable generation with a unique key, which needs no checkpoint search, and returns its attempt. */
    private AttemptId startGeneration(String id) {
        RequestSpec spec = fixture.generation(id, ProfileKind.RETRIABLE, 100);
        RequestSpec unique = new RequestSpec(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile(),
                Optional.of(new IdempotencyKey(id)),
                spec.fingerprint(),
                spec.arrivedAtMillis(),
                spec.deadlineMillis(),
                spec.work());
        fixture.send(new RequestEvent.Arrived(unique, OptionalInt.empty()));
        return fixture.lastCommand(RequestCommand.OpenStream.class).attempt();
    }

    private void sendToken(AttemptId attempt, int index) {
        fixture.send(new RequestEvent.TokensReceived(attempt, index, List.of("t" + index)));
    }

    /**
     * Guards against a gap of seconds before the resume when an engine becomes silent without closing the connection.
     */
    @Test
    void silentStreamIsResumedAfterItsTimeoutAndSilentTargetSooner() {
        AttemptId silent = startGeneration("a");
        sendToken(silent, 0);
        fixture.advance(600);
        assertThat(fixture.commandsOfType(RequestCommand.OpenStream.class)).hasSize(1);
        fixture.advance(50);
        RequestCommand.OpenStream resumed = fixture.lastCommand(RequestCommand.OpenStream.class);
        assertThat(resumed.attempt()).isEqualTo(silent.next());
        assertThat(resumed.prefix()).containsExactly("t0");
        assertThat(fixture.commandsOfType(RequestCommand.CancelAttempt.class)
                        .getFirst()
                        .attempt())
                .isEqualTo(silent);

        sendToken(resumed.attempt(), 1);
        AttemptId other = startGeneration("b");
        assertThat(fixture.inFlight.get(other)).isNotEqualTo(fixture.inFlight.get(resumed.attempt()));
        AttemptId colocated = startGeneration("c");
        sendToken(other, 0);
        sendToken(colocated, 0);
        fixture.advance(450);
        assertThat(fixture.inFlight.keySet()).containsNoneOf(other, colocated);
    }

    /** Guards against resuming all streams after a pause of this router, during which it read none of them. */
    @Test
    void routerPauseIsNotMistakenForSilence() {
        AttemptId attempt = startGeneration("a");
        sendToken(attempt, 0);

        fixture.now += 3000;
        fixture.send(new Event.Tick());

        assertThat(fixture.inFlight.keySet()).containsExactly(attempt);
    }

    /** Guards against resumes in a failing failure domain and against a burst of prefills at one target. */
    @Test
    void resumesAvoidALostDomainAndAreLimitedPerTarget() {
        Target first = fixture.targets.getFirst();
        Target last = fixture.targets.getLast();
        fixture.targets.removeIf(target -> target != first && target != last);
        Target sameDomainTarget = RequestFixture.target(9, first.failureDomain().value(), Capability.RESUME);
        for (int i = 0; i < 6; i++) {
            sendToken(startGeneration("a" + i), 0);
        }
        fixture.targets.addFirst(sameDomainTarget);
        AttemptId sameDomainAttempt = startGeneration("twin");
        fixture.failAttempt(sameDomainAttempt, FailureKind.LOST);
        fixture.selections.clear();

        for (AttemptId attempt : List.copyOf(fixture.inFlight.keySet())) {
            if (fixture.inFlight.get(attempt).equals(first.id())) {
                fixture.failAttempt(attempt, FailureKind.LOST);
            }
        }

        assertThat(fixture.selections.getLast().avoidedDomain()).hasValue(first.failureDomain());
        long prefills = fixture.commandsOfType(RequestCommand.OpenStream.class).stream()
                .filter(open -> open.target().equals(last) && !open.prefix().isEmpty())
                .count();
        assertThat(prefills).isEqualTo(Dispatcher.MAX_RESUME_PREFILLS_PER_TARGET);
    }

    /** Guards against crashes of a target that are not counted, or counted twice, for the requests it was running. */
    @Test
    void lossAndRefusedConnectionsCountAsOneCrash() {
        AttemptId attempt = startGeneration("a");
        fixture.failAttempt(attempt, FailureKind.LOST);
        Target target = fixture.targets.getFirst();

        fixture.send(new TargetEvent.Unreachable(target.id()));
        fixture.send(new TargetEvent.Unreachable(target.id()));

        assertThat(fixture.targetCrashes).hasSize(1);
        assertThat(fixture.targetCrashes.getFirst()).hasSize(1);
    }

    /** Guards against a poison request that continues to crash targets, and against a false NOT_RUN. */
    @Test
    void suspectsRunExclusivelyAndPoisonRequestsAreRefused() {
        fixture.poisonState = PoisonState.SUSPECT;
        AttemptId attempt = startGeneration("a");
        assertThat(fixture.selections.getLast().exclusive()).isTrue();

        fixture.poisonState = PoisonState.POISON;
        fixture.failAttempt(attempt, FailureKind.LOST);

        RequestCommand.Refuse refused = fixture.lastCommand(RequestCommand.Refuse.class);
        assertThat(refused.refusal().code()).isEqualTo(ErrorCode.POISON_REQUEST);
        assertThat(refused.refusal().executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
    }

    private void reconnect(Checkpoint checkpoint, int resumeAt) {
        // Last-Event-ID contains the id of the request whose tokens the client has.
        reconnect(checkpoint.spec(), checkpoint, resumeAt);
    }

    private void reconnect(RequestSpec spec, Checkpoint checkpoint, int resumeAt) {
        fixture.send(new RequestEvent.Arrived(spec, OptionalInt.of(resumeAt)));
        fixture.send(new RequestEvent.CheckpointSearchCompleted(spec.id(), Optional.of(checkpoint), true));
    }

    /**
     * Guards against a response that continues the tokens of one generation with those of another one with the same
     * key.
     */
    @Test
    void clientWithTokensOfAnotherRequestReceivesNoneOfThisOne() {
        reconnect(fixture.generation("other", ProfileKind.KEPT_ALIVE, 100), checkpoint(), 1);

        assertThat(fixture.commandsOfType(RequestCommand.DeliverTokens.class)).isEmpty();
        RequestCommand.Refuse refused = fixture.lastCommand(RequestCommand.Refuse.class);
        assertThat(refused.refusal().code()).isEqualTo(ErrorCode.RESUME_UNAVAILABLE);
        assertThat(refused.refusal().executionStatus()).isEqualTo(ExecutionStatus.RAN);
    }

    private Checkpoint checkpoint() {
        RequestSpec spec = fixture.generation("first", ProfileKind.KEPT_ALIVE, 100);
        return new Checkpoint(
                spec,
                new HostId("router-1"),
                Optional.of(new AttemptId(spec.id(), 3)),
                Optional.of(fixture.targets.getFirst().id()),
                "v1",
                List.of("t0", "t1"));
    }

    /** Guards against a lost or repeated token when a client reconnects after the death of its router. */
    @Test
    void reconnectingClientReceivesTheRestFromTheLiveStreamOrTheCheckpoint() {
        reconnect(checkpoint(), 1);

        RequestCommand.AttachStream attach = fixture.lastCommand(RequestCommand.AttachStream.class);
        assertThat(attach.fromIndex()).isEqualTo(2);
        assertThat(fixture.lastCommand(RequestCommand.DeliverTokens.class).tokens())
                .containsExactly("t1");

        fixture.failAttempt(attach.attempt(), FailureKind.STREAM_GONE);

        RequestCommand.OpenStream open = fixture.lastCommand(RequestCommand.OpenStream.class);
        assertThat(open.prefix()).containsExactly("t0", "t1").inOrder();
        // A former owner that is only paused may have used the next number for one of its own attempts.
        assertThat(open.attempt().number()).isGreaterThan(attach.attempt().number() + 1);
    }

    /** Guards against a second generation that continues tokens which only the client still has. */
    @Test
    void tokensHeldOnlyByTheClientAreNotGeneratedAgain() {
        reconnect(checkpoint(), 4);
        AttemptId attached =
                fixture.lastCommand(RequestCommand.AttachStream.class).attempt();

        fixture.failAttempt(attached, FailureKind.STREAM_GONE);

        assertThat(fixture.commandsOfType(RequestCommand.OpenStream.class)).isEmpty();
        RequestCommand.Refuse refused = fixture.lastCommand(RequestCommand.Refuse.class);
        assertThat(refused.refusal().code()).isEqualTo(ErrorCode.RESUME_UNAVAILABLE);
        assertThat(refused.refusal().executionStatus()).isEqualTo(ExecutionStatus.RAN);
    }

    /** Guards against a mixed response when no target has the model version that started it. */
    @Test
    void responseIsNotContinuedByAnotherModelVersion() {
        AttemptId attempt = startGeneration("a");
        sendToken(attempt, 0);
        fixture.targets.replaceAll(t -> new Target(
                t.id(),
                t.service(),
                t.address(),
                t.region(),
                t.failureDomain(),
                t.model(),
                "v2",
                t.slots(),
                t.capabilities()));

        fixture.failAttempt(attempt, FailureKind.LOST);

        assertThat(fixture.lastCommand(RequestCommand.Refuse.class).refusal().code())
                .isEqualTo(ErrorCode.MODEL_VERSION_GONE);
    }

    /** Guards against a NOT_RUN record for another router's request whose client reconnects to a leaving router. */
    @Test
    void leavingRouterRefusesReconnectingClientWithoutARecord() {
        fixture.membership.leaving = true;

        fixture.send(
                new RequestEvent.Arrived(fixture.generation("back", ProfileKind.KEPT_ALIVE, 100), OptionalInt.of(3)));

        RequestCommand.Refuse refused = fixture.lastCommand(RequestCommand.Refuse.class);
        assertThat(refused.refusal().code()).isEqualTo(ErrorCode.DRAINING);
        assertThat(refused.refusal().executionStatus()).isEqualTo(ExecutionStatus.RAN);
        assertThat(fixture.records()).isEmpty();
    }

    private ExecutionStatus statusOfHeldClaim(Capability... capabilities) {
        RequestFixture orderFixture = RequestFixture.withTargets(2, capabilities);
        RequestSpec order = orderFixture.order("a");
        orderFixture.send(new RequestEvent.Arrived(order, OptionalInt.empty()));
        orderFixture.send(new RequestEvent.ClaimDecided(
                order.id(), new ClaimResult.Held(new HostId("router-dead"), 9, HOLDING_REQUEST)));
        for (RequestCommand.Reconcile query : orderFixture.commandsOfType(RequestCommand.Reconcile.class)) {
            assertThat(query.fence()).isEqualTo(OptionalLong.of(10));
            orderFixture.send(new RequestEvent.Reconciled(query.attempt(), Optional.<ServiceResponse>empty()));
        }
        assertThat(orderFixture.commandsOfType(RequestCommand.CallService.class))
                .isEmpty();
        ExecutionStatus status =
                orderFixture.lastCommand(RequestCommand.Refuse.class).refusal().executionStatus();
        // Guards against a key that stays unusable although its order was never executed.
        boolean keyReleased = orderFixture.records().stream()
                .anyMatch(record -> record.request().equals(HOLDING_REQUEST)
                        && record.executionStatus() == ExecutionStatus.NOT_RUN);
        assertThat(keyReleased).isEqualTo(status == ExecutionStatus.NOT_RUN);
        return status;
    }

    /** Guards against NOT_RUN while a paused router may still dispatch the call under its claim. */
    @Test
    void claimOfDeadHolderIsNotRunOnlyIfEveryTargetFencesIt() {
        assertThat(statusOfHeldClaim(Capability.RECONCILE, Capability.FENCING)).isEqualTo(ExecutionStatus.NOT_RUN);
        assertThat(statusOfHeldClaim(Capability.RECONCILE)).isEqualTo(ExecutionStatus.UNKNOWN);
        assertThat(statusOfHeldClaim(Capability.FENCING)).isEqualTo(ExecutionStatus.UNKNOWN);
    }

    /** Guards against an order that stays UNKNOWN although every target can fence it and report it as not executed. */
    @Test
    void closedClaimOfUnknownExecutionStatusIsReconciledWithTheTargets() {
        RequestFixture orderFixture = RequestFixture.withTargets(2, Capability.RECONCILE, Capability.FENCING);
        RequestSpec order = orderFixture.order("a");
        orderFixture.send(new RequestEvent.Arrived(order, OptionalInt.empty()));
        OutcomeRecord unknownRecord = new OutcomeRecord(
                HOLDING_REQUEST,
                order.account(),
                order.service(),
                "order",
                order.ledgerKey(),
                Outcome.ABANDONED,
                ExecutionStatus.UNKNOWN,
                "",
                0,
                new HostId("router-dead"),
                List.of(),
                1,
                0,
                0,
                0,
                0);
        orderFixture.send(
                new RequestEvent.ClaimDecided(order.id(), new ClaimResult.Closed(unknownRecord, Optional.empty(), 9)));
        for (RequestCommand.Reconcile query : orderFixture.commandsOfType(RequestCommand.Reconcile.class)) {
            assertThat(query.fence()).isEqualTo(OptionalLong.of(10));
            orderFixture.send(new RequestEvent.Reconciled(query.attempt(), Optional.<ServiceResponse>empty()));
        }

        assertThat(orderFixture
                        .lastCommand(RequestCommand.Refuse.class)
                        .refusal()
                        .executionStatus())
                .isEqualTo(ExecutionStatus.NOT_RUN);
        assertThat(orderFixture.commandsOfType(RequestCommand.CallService.class))
                .isEmpty();
    }
}
