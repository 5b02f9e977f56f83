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
        RESPOND,
        RECONCILED_ABSENT,
        RECONCILED_RAN,
        RECONCILE_FAILED,
        PAUSE,
        /** Pause after which further events are handled before the first tick. */
        PAUSE_BEFORE_TICK,
        WAIT,
        TARGETS_UNAVAILABLE,
        TARGETS_AVAILABLE,
        CLIENT_DISCONNECTED,
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

    /**
     * Guards against double execution, against NOT_RUN for an order that may have been executed, and against lost
     * records.
     */
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
        private final Set<AttemptId> definitelyNotRun = new LinkedHashSet<>();
        private final Set<AttemptId> completedAttempts = new LinkedHashSet<>();
        private boolean clientDisconnected;
        private int duplicates;
        private long grantedAt = -1;
        private long pausedAt = -1;
        private boolean executedElsewhere;
        private boolean claimDecided;

        Scenario(Set<Capability> capabilities) {
            fixture = RequestFixture.withTargets(3, capabilities.toArray(new Capability[0]));
            fixture.deadlineMillis = 20_000;
            order = fixture.order("a");
            send(new RequestEvent.Arrived(order, OptionalInt.empty()));
        }

        private void send(Event event) {
            for (Command command : fixture.send(event)) {
                if (command instanceof RequestCommand.CallService) {
                    assertWithMessage("dispatch without a granted claim")
                            .that(grantedAt)
                            .isAtLeast(0);
                    assertWithMessage("time from the grant to the dispatch")
                            .that(fixture.now - grantedAt)
                            .isAtMost(2000);
                    assertWithMessage("dispatch after a pause").that(pausedAt).isLessThan(0);
                    assertWithMessage("calls that may be executed")
                            .that(countPossibleExecutions())
                            .isAtMost(1);
                }
            }
        }

        private long countPossibleExecutions() {
            return fixture.commandsOfType(RequestCommand.CallService.class).stream()
                    .filter(call -> !definitelyNotRun.contains(call.attempt()))
                    .count();
        }

        private void decideClaim(ClaimResult result) {
            if (!claimDecided) {
                grantedAt = result instanceof ClaimResult.Granted ? fixture.now : -1;
                executedElsewhere = result instanceof ClaimResult.Closed closed
                        && closed.record().executionStatus() == ExecutionStatus.RAN;
            }
            claimDecided = true;
            send(new RequestEvent.ClaimDecided(order.id(), result));
        }

        private void closeClaim(ExecutionStatus status) {
            OutcomeRecord record = new OutcomeRecord(
                    new RequestId("01-old"),
                    order.account(),
                    order.service(),
                    "profile",
                    order.ledgerKey(),
                    Outcome.COMPLETED,
                    status,
                    "",
                    200,
                    new HostId("router-1"),
                    List.of(),
                    1,
                    0,
                    0,
                    0,
                    0);
            decideClaim(new ClaimResult.Closed(
                    record, Optional.of(RESPONSE).filter(r -> status == ExecutionStatus.RAN), 0));
        }

        private void failOpenCall(FailureKind kind) {
            findOpenCall().ifPresent(attempt -> {
                completedAttempts.add(attempt);
                if (kind.isDefinitelyNotRun()) {
                    definitelyNotRun.add(attempt);
                }
                send(new RequestEvent.AttemptFailed(attempt, kind, "test", OptionalLong.empty()));
            });
        }

        private Optional<AttemptId> findOpenCall() {
            return fixture.commandsOfType(RequestCommand.CallService.class).stream()
                    .map(RequestCommand.CallService::attempt)
                    .filter(attempt -> !completedAttempts.contains(attempt))
                    .findFirst();
        }

        private Optional<RequestCommand.Reconcile> findOpenQuery() {
            return fixture.commandsOfType(RequestCommand.Reconcile.class).stream()
                    .filter(query -> !completedAttempts.contains(query.attempt()))
                    .findFirst();
        }

        private void respondToOpenQuery(Optional<ServiceResponse> response) {
            findOpenQuery().ifPresent(query -> {
                completedAttempts.add(query.attempt());
                boolean fenced = query.target().supports(Capability.FENCING);
                for (RequestCommand.CallService call : fixture.commandsOfType(RequestCommand.CallService.class)) {
                    boolean raised = query.fence().orElse(0) > call.fence().orElseThrow();
                    if (response.isEmpty() && fenced && raised && call.target().equals(query.target())) {
                        definitelyNotRun.add(call.attempt());
                    }
                }
                executedElsewhere |= response.isPresent();
                send(new RequestEvent.Reconciled(query.attempt(), response));
            });
        }

        void apply(Step step) {
            fixture.now += 1;
            switch (step) {
                case GRANT -> decideClaim(new ClaimResult.Granted(40));
                case HELD -> decideClaim(new ClaimResult.Held(new HostId("router-1"), 39, new RequestId("00-held")));
                case HELD_BY_DEAD ->
                    decideClaim(new ClaimResult.Held(new HostId("router-dead"), 39, new RequestId("00-held")));
                case CLOSED_RAN -> closeClaim(ExecutionStatus.RAN);
                case CLOSED_UNKNOWN -> closeClaim(ExecutionStatus.UNKNOWN);
                case CLOSED_NOT_RUN -> closeClaim(ExecutionStatus.NOT_RUN);
                case KEY_REUSED -> decideClaim(new ClaimResult.KeyReused());
                case UNAVAILABLE -> decideClaim(new ClaimResult.Unavailable("test", true));
                case NOT_SENT, BUSY, DRAINING, FENCED, LOST, TIMED_OUT ->
                    failOpenCall(FailureKind.valueOf(step.name()));
                case RESPOND ->
                    findOpenCall().ifPresent(attempt -> {
                        completedAttempts.add(attempt);
                        send(new RequestEvent.ServiceResponded(attempt, RESPONSE));
                    });
                case RECONCILED_ABSENT -> respondToOpenQuery(Optional.empty());
                case RECONCILED_RAN -> respondToOpenQuery(Optional.of(RESPONSE));
                case RECONCILE_FAILED ->
                    findOpenQuery().ifPresent(query -> {
                        completedAttempts.add(query.attempt());
                        send(new RequestEvent.AttemptFailed(
                                query.attempt(), FailureKind.LOST, "test", OptionalLong.empty()));
                    });
                case PAUSE -> {
                    pause();
                    send(new Event.Tick());
                }
                case PAUSE_BEFORE_TICK -> pause();
                case WAIT -> advance(500);
                case TARGETS_UNAVAILABLE ->
                    fixture.targets.forEach(target -> fixture.unavailableTargets.add(target.id()));
                case TARGETS_AVAILABLE -> fixture.unavailableTargets.clear();
                case CLIENT_DISCONNECTED -> {
                    clientDisconnected = true;
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

        private void advance(long millis) {
            for (long end = fixture.now + millis; fixture.now < end; fixture.now += 50) {
                send(new Event.Tick());
            }
        }

        void finish() {
            fixture.claims.forEach(
                    claim -> send(new RequestEvent.ClaimDecided(claim.id(), new ClaimResult.Unavailable("end", true))));
            failOpenCall(FailureKind.LOST);
            advance(30_000);
        }

        void check() {
            List<OutcomeRecord> orderRecords = fixture.records().stream()
                    .filter(record -> record.request().equals(order.id()))
                    .toList();
            assertThat(orderRecords).hasSize(1);
            assertThat(fixture.coordinator.openRequestCount()).isEqualTo(0);
            if (countPossibleExecutions() > 0
                    || executedElsewhere
                            && fixture.commandsOfType(RequestCommand.CallService.class)
                                    .isEmpty()) {
                assertThat(orderRecords.getFirst().executionStatus()).isNotEqualTo(ExecutionStatus.NOT_RUN);
            }
            long finalCount = fixture.finalCommands().stream()
                    .filter(this::isFinalCommandOfOrder)
                    .count();
            assertThat(finalCount).isAtMost(1);
            if (!clientDisconnected) {
                assertThat(finalCount).isEqualTo(1);
            }
        }

        /** Returns whether a command ends the order, and checks that no refusal wrongly reports it as not run. */
        private boolean isFinalCommandOfOrder(Command command) {
            return switch (command) {
                case RequestCommand.Refuse refuse -> {
                    // A retry after the order has ended is a separate request with its own claim.
                    boolean separateClaim = !refuse.request().equals(order.id())
                            && fixture.claims.stream().anyMatch(c -> c.id().equals(refuse.request()));
                    if (refuse.refusal().executionStatus() == ExecutionStatus.NOT_RUN && !separateClaim) {
                        assertThat(countPossibleExecutions()).isEqualTo(0);
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
