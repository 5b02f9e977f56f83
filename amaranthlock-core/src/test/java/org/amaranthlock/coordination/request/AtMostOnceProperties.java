package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.protocol.peer.ClaimResult;

class AtMostOnceProperties {
    private static final ServiceResponse RESPONSE = new ServiceResponse(201, Map.of(), new byte[] {1});

    enum Step {
        GRANT,
        HELD,
        HELD_BY_DEAD,
        CLOSED_RAN,
        CLOSED_UNKNOWN,
        CLOSED_NOT_RUN,
        KEY_REUSED,
        UNAVAILABLE,
        NOT_SENT,
        BUSY,
        DRAINING,
        FENCED,
        LOST,
        TIMED_OUT,
        ANSWER,
        RECONCILED_ABSENT,
        RECONCILED_RAN,
        RECONCILE_FAILED,
        PAUSE,
        PAUSE_BEFORE_TICK,
        WAIT,
        TARGETS_GONE,
        TARGETS_BACK,
        CLIENT_GONE,
        DUPLICATE
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Arbitraries.of(Step.class).list().ofMaxSize(25);
    }

    @Provide
    Arbitrary<Set<Capability>> capabilities() {
        return Arbitraries.of(Capability.FENCING, Capability.RECONCILE).set();
    }

    /** Guards against double execution, against "not run" for an order that may have run, and against lost records. */
    @Property(seed = "20261204", tries = 3000, shrinking = ShrinkingMode.FULL)
    void orderRunsAtMostOnceAndReportsItsTrueExecutionStatus(
            @ForAll("steps") List<Step> steps, @ForAll("capabilities") Set<Capability> capabilities) {
        Scenario scenario = new Scenario(capabilities);
        steps.forEach(scenario::apply);
        scenario.finish();
        scenario.check();
    }

    private static final class Scenario {
        private final RequestFixture fixture;
        private final RequestSpec order;
        private final Set<AttemptId> harmless = new LinkedHashSet<>();
        private final Set<AttemptId> answered = new LinkedHashSet<>();
        private boolean gone;
        private int duplicates;
        private long grantedAt = -1;
        private long pausedAt = -1;
        private boolean ranElsewhere;
        private boolean decided;

        Scenario(Set<Capability> capabilities) {
            fixture = RequestFixture.withTargets(3, capabilities.toArray(new Capability[0]));
            fixture.deadlineMillis = 20_000;
            order = fixture.order("a");
            send(new RequestEvent.Arrived(order, OptionalInt.empty()));
        }

        private void send(Event event) {
            for (Command command : fixture.send(event)) {
                if (command instanceof RequestCommand.CallService) {
                    assertWithMessage("dispatch without grant").that(grantedAt).isAtLeast(0);
                    assertWithMessage("late dispatch")
                            .that(fixture.now - grantedAt)
                            .isAtMost(2000);
                    assertWithMessage("dispatch after a pause").that(pausedAt).isLessThan(0);
                    assertWithMessage("calls that may run").that(mayRun()).isAtMost(1);
                }
            }
        }

        private long mayRun() {
            return fixture.all(RequestCommand.CallService.class).stream()
                    .filter(call -> !harmless.contains(call.attempt()))
                    .count();
        }

        private void verdict(ClaimResult verdict) {
            if (!decided) {
                grantedAt = verdict instanceof ClaimResult.Granted ? fixture.now : -1;
                ranElsewhere = verdict instanceof ClaimResult.Closed closed
                        && closed.record().executionStatus() == ExecutionStatus.RAN;
            }
            decided = true;
            send(new RequestEvent.ClaimDecided(order.id(), verdict));
        }

        private void closedWith(ExecutionStatus fate) {
            OutcomeRecord record = new OutcomeRecord(
                    new RequestId("01-old"),
                    order.account(),
                    order.service(),
                    "profile",
                    order.ledgerKey(),
                    Outcome.COMPLETED,
                    fate,
                    "",
                    200,
                    new HostId("router-1"),
                    List.of(),
                    1,
                    0,
                    0,
                    0,
                    0);
            verdict(new ClaimResult.Closed(record, Optional.of(RESPONSE).filter(r -> fate == ExecutionStatus.RAN), 0));
        }

        private void failCall(FailureKind kind) {
            openCall().ifPresent(attempt -> {
                answered.add(attempt);
                if (kind.isDefinitelyNotRun()) {
                    harmless.add(attempt);
                }
                send(new RequestEvent.AttemptFailed(attempt, kind, "test", OptionalLong.empty()));
            });
        }

        private Optional<AttemptId> openCall() {
            return fixture.all(RequestCommand.CallService.class).stream()
                    .map(RequestCommand.CallService::attempt)
                    .filter(attempt -> !answered.contains(attempt))
                    .findFirst();
        }

        private Optional<RequestCommand.Reconcile> openQuery() {
            return fixture.all(RequestCommand.Reconcile.class).stream()
                    .filter(query -> !answered.contains(query.attempt()))
                    .findFirst();
        }

        private void reconciled(Optional<ServiceResponse> response) {
            openQuery().ifPresent(query -> {
                answered.add(query.attempt());
                boolean barred = query.target().supports(Capability.FENCING);
                for (RequestCommand.CallService call : fixture.all(RequestCommand.CallService.class)) {
                    boolean raised = query.fence().orElse(0) > call.fence().orElseThrow();
                    if (response.isEmpty() && barred && raised && call.target().equals(query.target())) {
                        harmless.add(call.attempt());
                    }
                }
                ranElsewhere |= response.isPresent();
                send(new RequestEvent.Reconciled(query.attempt(), response));
            });
        }

        void apply(Step step) {
            fixture.now += 1;
            switch (step) {
                case GRANT -> verdict(new ClaimResult.Granted(40));
                case HELD -> verdict(new ClaimResult.Held(new HostId("router-1"), 39, new RequestId("00-held")));
                case HELD_BY_DEAD ->
                    verdict(new ClaimResult.Held(new HostId("router-dead"), 39, new RequestId("00-held")));
                case CLOSED_RAN -> closedWith(ExecutionStatus.RAN);
                case CLOSED_UNKNOWN -> closedWith(ExecutionStatus.UNKNOWN);
                case CLOSED_NOT_RUN -> closedWith(ExecutionStatus.NOT_RUN);
                case KEY_REUSED -> verdict(new ClaimResult.KeyReused());
                case UNAVAILABLE -> verdict(new ClaimResult.Unavailable("test", true));
                case NOT_SENT, BUSY, DRAINING, FENCED, LOST, TIMED_OUT -> failCall(FailureKind.valueOf(step.name()));
                case ANSWER ->
                    openCall().ifPresent(attempt -> {
                        answered.add(attempt);
                        send(new RequestEvent.ServiceResponded(attempt, RESPONSE));
                    });
                case RECONCILED_ABSENT -> reconciled(Optional.empty());
                case RECONCILED_RAN -> reconciled(Optional.of(RESPONSE));
                case RECONCILE_FAILED ->
                    openQuery().ifPresent(query -> {
                        answered.add(query.attempt());
                        send(new RequestEvent.AttemptFailed(
                                query.attempt(), FailureKind.LOST, "test", OptionalLong.empty()));
                    });
                case PAUSE -> {
                    pause();
                    send(new Event.Tick());
                }
                case PAUSE_BEFORE_TICK -> pause();
                case WAIT -> pass(500);
                case TARGETS_GONE -> fixture.targets.forEach(target -> fixture.unavailable.add(target.id()));
                case TARGETS_BACK -> fixture.unavailable.clear();
                case CLIENT_GONE -> {
                    gone = true;
                    send(new RequestEvent.ClientDisconnected(order.id()));
                }
                case DUPLICATE -> {
                    duplicates++;
                    send(new RequestEvent.Arrived(fixture.order("duplicate-" + duplicates), OptionalInt.empty()));
                }
                default -> throw new AssertionError(step);
            }
        }

        private void pause() {
            fixture.now += 1000;
            pausedAt = fixture.now;
        }

        private void pass(long millis) {
            for (long end = fixture.now + millis; fixture.now < end; fixture.now += 50) {
                send(new Event.Tick());
            }
        }

        void finish() {
            fixture.claims.forEach(
                    claim -> send(new RequestEvent.ClaimDecided(claim.id(), new ClaimResult.Unavailable("end", true))));
            failCall(FailureKind.LOST);
            pass(30_000);
        }

        void check() {
            List<OutcomeRecord> ofOrder = fixture.records().stream()
                    .filter(record -> record.request().equals(order.id()))
                    .toList();
            assertThat(ofOrder).hasSize(1);
            assertThat(fixture.coordinator.openRequestCount()).isEqualTo(0);
            if (mayRun() > 0
                    || ranElsewhere
                            && fixture.all(RequestCommand.CallService.class).isEmpty()) {
                assertThat(ofOrder.getFirst().executionStatus()).isNotEqualTo(ExecutionStatus.NOT_RUN);
            }
            long finals = fixture.finals().stream().filter(this::toOrder).count();
            assertThat(finals).isAtMost(1);
            if (!gone) {
                assertThat(finals).isEqualTo(1);
            }
        }

        private boolean toOrder(Command command) {
            return switch (command) {
                case RequestCommand.Refuse refuse -> {
                    // A repeat after the end is a request of its own, with a claim of its own.
                    boolean ownClaim = !refuse.request().equals(order.id())
                            && fixture.claims.stream().anyMatch(c -> c.id().equals(refuse.request()));
                    if (refuse.refusal().executionStatus() == ExecutionStatus.NOT_RUN && !ownClaim) {
                        assertThat(mayRun()).isEqualTo(0);
                    }
                    yield refuse.request().equals(order.id());
                }
                case RequestCommand.DeliverResponse response ->
                    response.request().equals(order.id());
                default -> false;
            };
        }
    }
}
