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
    private static final RequestId HELD_REQUEST = new RequestId("00-held");

    private final RequestFixture fixture = RequestFixture.withTargets(6, Capability.RESUME, Capability.ATTACH);

    /** Starts a retriable generation under a key of its own, which needs no search, and returns its attempt. */
    private AttemptId start(String id) {
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
        return fixture.last(RequestCommand.OpenStream.class).attempt();
    }

    private void token(AttemptId attempt, int index) {
        fixture.send(new RequestEvent.TokensReceived(attempt, index, List.of("t" + index)));
    }

    /** Guards against a resume gap of seconds when an engine goes silent without closing the connection. */
    @Test
    void aSilentStreamResumesAfterItsBoundAndASilentTargetSooner() {
        AttemptId alone = start("a");
        token(alone, 0);
        fixture.advance(600);
        assertThat(fixture.all(RequestCommand.OpenStream.class)).hasSize(1);
        fixture.advance(50);
        RequestCommand.OpenStream resumed = fixture.last(RequestCommand.OpenStream.class);
        assertThat(resumed.attempt()).isEqualTo(alone.next());
        assertThat(resumed.prefix()).containsExactly("t0");
        assertThat(fixture.all(RequestCommand.CancelAttempt.class).getFirst().attempt())
                .isEqualTo(alone);

        token(resumed.attempt(), 1);
        AttemptId other = start("b");
        assertThat(fixture.inFlight.get(other)).isNotEqualTo(fixture.inFlight.get(resumed.attempt()));
        AttemptId neighbour = start("c");
        token(other, 0);
        token(neighbour, 0);
        fixture.advance(450);
        assertThat(fixture.inFlight.keySet()).containsNoneOf(other, neighbour);
    }

    /** Guards against mass resumes after a pause of this router, in which no stream was read. */
    @Test
    void aPauseOfTheRouterIsNotTakenForSilence() {
        AttemptId attempt = start("a");
        token(attempt, 0);

        fixture.now += 3000;
        fixture.send(new Event.Tick());

        assertThat(fixture.inFlight.keySet()).containsExactly(attempt);
    }

    /** Guards against resumes into a domain that is going down and against a rush of prefills on one target. */
    @Test
    void resumesAvoidALostDomainAndArePacedPerTarget() {
        Target first = fixture.targets.getFirst();
        Target last = fixture.targets.getLast();
        fixture.targets.removeIf(target -> target != first && target != last);
        Target twin = RequestFixture.target(9, first.failureDomain().value(), Capability.RESUME);
        for (int i = 0; i < 6; i++) {
            token(start("a" + i), 0);
        }
        fixture.targets.addFirst(twin);
        AttemptId onTwin = start("twin");
        fixture.fail(onTwin, FailureKind.LOST);
        fixture.selections.clear();

        for (AttemptId attempt : List.copyOf(fixture.inFlight.keySet())) {
            if (fixture.inFlight.get(attempt).equals(first.id())) {
                fixture.fail(attempt, FailureKind.LOST);
            }
        }

        assertThat(fixture.selections.getLast().avoidedDomain()).hasValue(first.failureDomain());
        long prefills = fixture.all(RequestCommand.OpenStream.class).stream()
                .filter(open -> open.target().equals(last) && !open.prefix().isEmpty())
                .count();
        assertThat(prefills).isEqualTo(Dispatcher.MAX_RESUME_PREFILLS_PER_TARGET);
    }

    /** Guards against deaths of targets that are not counted, or counted twice, against the requests there. */
    @Test
    void lossFollowedByARefusedConnectionIsOneCrash() {
        AttemptId attempt = start("a");
        fixture.fail(attempt, FailureKind.LOST);
        Target target = fixture.targets.getFirst();

        fixture.send(new TargetEvent.Unreachable(target.id()));
        fixture.send(new TargetEvent.Unreachable(target.id()));

        assertThat(fixture.targetCrashes).hasSize(1);
        assertThat(fixture.targetCrashes.getFirst()).hasSize(1);
    }

    /** Guards against a poison request that goes on crashing targets, and against a false "not run". */
    @Test
    void suspectsRunAloneAndPoisonRequestsAreRefused() {
        fixture.poisonState = PoisonState.SUSPECT;
        AttemptId attempt = start("a");
        assertThat(fixture.selections.getLast().exclusive()).isTrue();

        fixture.poisonState = PoisonState.POISON;
        fixture.fail(attempt, FailureKind.LOST);

        RequestCommand.Refuse refused = fixture.last(RequestCommand.Refuse.class);
        assertThat(refused.refusal().code()).isEqualTo(ErrorCode.POISON_REQUEST);
        assertThat(refused.refusal().executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
    }

    private void returnWith(Checkpoint checkpoint, int resumeAt) {
        // The caller names the request of its tokens in Last-Event-ID.
        returnWith(checkpoint.spec(), checkpoint, resumeAt);
    }

    private void returnWith(RequestSpec spec, Checkpoint checkpoint, int resumeAt) {
        fixture.send(new RequestEvent.Arrived(spec, OptionalInt.of(resumeAt)));
        fixture.send(new RequestEvent.CheckpointFound(spec.id(), Optional.of(checkpoint), true));
    }

    /** Guards against the rest of one generation behind tokens of another one with the same key. */
    @Test
    void clientWithTokensOfAnotherRequestGetsNoneOfThisOne() {
        returnWith(fixture.generation("other", ProfileKind.KEPT_ALIVE, 100), checkpoint(), 1);

        assertThat(fixture.all(RequestCommand.DeliverTokens.class)).isEmpty();
        RequestCommand.Refuse refused = fixture.last(RequestCommand.Refuse.class);
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

    /** Guards against a lost or repeated token when a caller comes back after the death of its router. */
    @Test
    void reconnectingClientGetsTheRestFromTheLiveStreamElseFromTheCheckpoint() {
        returnWith(checkpoint(), 1);

        RequestCommand.AttachStream attach = fixture.last(RequestCommand.AttachStream.class);
        assertThat(attach.fromIndex()).isEqualTo(2);
        assertThat(fixture.last(RequestCommand.DeliverTokens.class).tokens()).containsExactly("t1");

        fixture.fail(attach.attempt(), FailureKind.STREAM_GONE);

        RequestCommand.OpenStream open = fixture.last(RequestCommand.OpenStream.class);
        assertThat(open.prefix()).containsExactly("t0", "t1").inOrder();
        // A former owner that is only paused may have used the next number for an attempt of its own.
        assertThat(open.attempt().number()).isGreaterThan(attach.attempt().number() + 1);
    }

    /** Guards against a second generation behind tokens that only the caller still has. */
    @Test
    void tokensThatOnlyTheClientHasAreNotGeneratedAgain() {
        returnWith(checkpoint(), 4);
        AttemptId attached = fixture.last(RequestCommand.AttachStream.class).attempt();

        fixture.fail(attached, FailureKind.STREAM_GONE);

        assertThat(fixture.all(RequestCommand.OpenStream.class)).isEmpty();
        RequestCommand.Refuse refused = fixture.last(RequestCommand.Refuse.class);
        assertThat(refused.refusal().code()).isEqualTo(ErrorCode.RESUME_UNAVAILABLE);
        assertThat(refused.refusal().executionStatus()).isEqualTo(ExecutionStatus.RAN);
    }

    /** Guards against a mixed answer when no target has the model version that began it. */
    @Test
    void anAnswerIsNotContinuedByAnotherModelVersion() {
        AttemptId attempt = start("a");
        token(attempt, 0);
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

        fixture.fail(attempt, FailureKind.LOST);

        assertThat(fixture.last(RequestCommand.Refuse.class).refusal().code()).isEqualTo(ErrorCode.MODEL_VERSION_GONE);
    }

    /** Guards against a record that calls a request of another router not run because its caller met a leaving one. */
    @Test
    void reconnectingClientOfALeavingRouterIsSentOnWithoutARecord() {
        fixture.membership.leaving = true;

        fixture.send(
                new RequestEvent.Arrived(fixture.generation("back", ProfileKind.KEPT_ALIVE, 100), OptionalInt.of(3)));

        RequestCommand.Refuse refused = fixture.last(RequestCommand.Refuse.class);
        assertThat(refused.refusal().code()).isEqualTo(ErrorCode.DRAINING);
        assertThat(refused.refusal().executionStatus()).isEqualTo(ExecutionStatus.RAN);
        assertThat(fixture.records()).isEmpty();
    }

    private ExecutionStatus fateOfHeldClaim(Capability... capabilities) {
        RequestFixture desk = RequestFixture.withTargets(2, capabilities);
        RequestSpec order = desk.order("a");
        desk.send(new RequestEvent.Arrived(order, OptionalInt.empty()));
        desk.send(new RequestEvent.ClaimDecided(
                order.id(), new ClaimResult.Held(new HostId("router-dead"), 9, HELD_REQUEST)));
        for (RequestCommand.Reconcile query : desk.all(RequestCommand.Reconcile.class)) {
            assertThat(query.fence()).isEqualTo(OptionalLong.of(10));
            desk.send(new RequestEvent.Reconciled(query.attempt(), Optional.<ServiceResponse>empty()));
        }
        assertThat(desk.all(RequestCommand.CallService.class)).isEmpty();
        ExecutionStatus fate = desk.last(RequestCommand.Refuse.class).refusal().executionStatus();
        // Guards against a key that nobody can use any more although its order was never executed.
        boolean freed = desk.records().stream()
                .anyMatch(record ->
                        record.request().equals(HELD_REQUEST) && record.executionStatus() == ExecutionStatus.NOT_RUN);
        assertThat(freed).isEqualTo(fate == ExecutionStatus.NOT_RUN);
        return fate;
    }

    /** Guards against "not run" while a paused router may still dispatch under its claim. */
    @Test
    void aDeadHoldersClaimIsNotRunOnlyIfEveryTargetBarsItsFence() {
        assertThat(fateOfHeldClaim(Capability.RECONCILE, Capability.FENCING)).isEqualTo(ExecutionStatus.NOT_RUN);
        assertThat(fateOfHeldClaim(Capability.RECONCILE)).isEqualTo(ExecutionStatus.UNKNOWN);
        assertThat(fateOfHeldClaim(Capability.FENCING)).isEqualTo(ExecutionStatus.UNKNOWN);
    }

    /** Guards against an order whose fate stays unknown for ever although every target can bar and deny it. */
    @Test
    void closedClaimOfUnknownExecutionStatusIsReconciledWithTheTargets() {
        RequestFixture desk = RequestFixture.withTargets(2, Capability.RECONCILE, Capability.FENCING);
        RequestSpec order = desk.order("a");
        desk.send(new RequestEvent.Arrived(order, OptionalInt.empty()));
        OutcomeRecord unknown = new OutcomeRecord(
                HELD_REQUEST,
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
        desk.send(new RequestEvent.ClaimDecided(order.id(), new ClaimResult.Closed(unknown, Optional.empty(), 9)));
        for (RequestCommand.Reconcile query : desk.all(RequestCommand.Reconcile.class)) {
            assertThat(query.fence()).isEqualTo(OptionalLong.of(10));
            desk.send(new RequestEvent.Reconciled(query.attempt(), Optional.<ServiceResponse>empty()));
        }

        assertThat(desk.last(RequestCommand.Refuse.class).refusal().executionStatus())
                .isEqualTo(ExecutionStatus.NOT_RUN);
        assertThat(desk.all(RequestCommand.CallService.class)).isEmpty();
    }
}
