package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.admission.AdmissionDecision;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.junit.jupiter.api.Test;

class RequestFaultMatrixTest {
    enum RequestFault {
        LOST,
        NOT_SENT,
        BUSY,
        LEDGER_DOWN,
        PAUSE,
        CLIENT_GONE,
        DEADLINE,
        TARGETS_GONE
    }

    /**
     * Expected execution status of a request whose only target, or whose router, has one fault at one step; the retry
     * budget allows no retry. A kept-alive generation continues for 30 s without its client. A cell {@code -X} is not
     * applicable; {@link #NOT_APPLICABLE_REASONS} contains the reason for X.
     */
    private static final String EXPECTED_STATUS_TABLE = """
            kind       step       LOST    NOT_SENT BUSY    LEDGER_DOWN PAUSE   CLIENT_GONE DEADLINE TARGETS_GONE
            GENERATION QUEUED     -A      -A       -A      -L          RAN     RAN         NOT_RUN  NOT_RUN
            GENERATION DISPATCHED UNKNOWN NOT_RUN  NOT_RUN -L          RAN     UNKNOWN     UNKNOWN  RAN
            GENERATION STREAMING  RAN     -S       -S      -L          RAN     RAN         RAN      RAN
            CALL       QUEUED     -A      -A       -A      -L          RAN     NOT_RUN     NOT_RUN  NOT_RUN
            CALL       DISPATCHED UNKNOWN NOT_RUN  NOT_RUN -L          RAN     UNKNOWN     UNKNOWN  RAN
            ORDER      QUEUED     -A      -A       -A      -C          RAN     NOT_RUN     NOT_RUN  NOT_RUN
            ORDER      CLAIMING   -A      -A       -A      NOT_RUN     NOT_RUN NOT_RUN     NOT_RUN  NOT_RUN
            ORDER      GRANTED    -A      -A       -A      -C          NOT_RUN NOT_RUN     -W       NOT_RUN
            ORDER      DISPATCHED UNKNOWN NOT_RUN  NOT_RUN -C          RAN     RAN         RAN      RAN
            """;

    private static final Map<String, String> NOT_APPLICABLE_REASONS = Map.of(
            "A", "no attempt is running at this step",
            "L", "the request does not use the ledger before its end",
            "S", "a target that streams tokens has already accepted the request",
            "C", "the claim is not yet requested or already decided at this step",
            "W", "a granted claim is released after 2 s, before the deadline");

    /** Guards against a wrong execution status after a fault at any step of any kind of request. */
    @Test
    void everyFaultAtEveryStepEndsInOneRecordWithTheTrueExecutionStatus() {
        List<String> rows = EXPECTED_STATUS_TABLE.lines().toList();
        List<String> failures = new ArrayList<>();
        int executed = 0;
        Map<String, Integer> skipped = new TreeMap<>();
        for (String row : rows.subList(1, rows.size())) {
            String[] cells = row.split(" +");
            assertThat(cells).hasLength(2 + RequestFault.values().length);
            for (RequestFault fault : RequestFault.values()) {
                String expected = cells[2 + fault.ordinal()];
                if (expected.startsWith("-")) {
                    skipped.merge(NOT_APPLICABLE_REASONS.get(expected.substring(1)), 1, Integer::sum);
                    continue;
                }
                executed++;
                String actual = new Cell(cells[0], cells[1]).statusAfter(fault);
                if (!actual.equals(expected)) {
                    failures.add(
                            cells[0] + " " + cells[1] + " " + fault + ": expected " + expected + ", but was " + actual);
                }
            }
        }
        System.out.printf(
                "Fault matrix: %d run, %d passed, not applicable: %s%n", executed, executed - failures.size(), skipped);
        assertThat(failures).isEmpty();
    }

    private static final class Cell {
        private final RequestFixture fixture = RequestFixture.withTargets(1, Capability.RESUME);
        private final String kind;
        private final String step;
        private final RequestSpec spec;

        Cell(String kind, String step) {
            this.kind = kind;
            this.step = step;
            fixture.retryAllowed = false;
            fixture.deadlineMillis = 20_000;
            if (step.equals("QUEUED")) {
                fixture.admission = new AdmissionDecision.Queued();
            }
            if (step.equals("GRANTED")) {
                fixture.unavailableTargets.add(fixture.targets.getFirst().id());
            }
            spec = switch (kind) {
                case "GENERATION" -> fixture.generation("a", ProfileKind.KEPT_ALIVE, 10);
                case "CALL" ->
                    fixture.spec("a", ProfileKind.RETRIABLE, new Work.ServiceCall("GET", "/", Map.of(), new byte[0]));
                default -> fixture.order("a");
            };
        }

        String statusAfter(RequestFault fault) {
            reachStep();
            inject(fault);
            fixture.advance(5_900);
            completeRemainingSteps();
            fixture.advance(60_000);
            if (fixture.records().size() != 1 || fixture.finalCommands().size() > 1) {
                return fixture.records().size() + " records, "
                        + fixture.finalCommands().size() + " final commands";
            }
            return fixture.records().getFirst().executionStatus().name();
        }

        private void reachStep() {
            fixture.send(new RequestEvent.Arrived(spec, OptionalInt.empty()));
            fixture.send(new RequestEvent.CheckpointSearchCompleted(spec.id(), Optional.empty(), true));
            if (step.equals("GRANTED") || step.equals("DISPATCHED")) {
                grantClaim();
            }
            if (step.equals("STREAMING")) {
                sendToken(0);
            }
        }

        private void inject(RequestFault fault) {
            switch (fault) {
                case LOST, NOT_SENT, BUSY -> fixture.failAttempt(attempt(), FailureKind.valueOf(fault.name()));
                case LEDGER_DOWN -> decideClaim(new ClaimResult.Unavailable("test", true));
                case PAUSE -> {
                    fixture.now += 1000;
                    fixture.send(new Event.Tick());
                    completeRemainingSteps();
                }
                case CLIENT_GONE -> {
                    fixture.send(new RequestEvent.ClientDisconnected(spec.id()));
                    if (!kind.equals("GENERATION")) {
                        completeRemainingSteps();
                    }
                }
                case DEADLINE -> {
                    fixture.now = spec.deadlineMillis();
                    fixture.send(new Event.Tick());
                    fixture.send(new Event.Tick());
                    completeRemainingSteps();
                }
                case TARGETS_GONE -> {
                    fixture.unavailableTargets.add(fixture.targets.getFirst().id());
                    completeRemainingSteps();
                }
                default -> throw new AssertionError(fault);
            }
        }

        /** Completes the remaining steps of the request without further faults. */
        private void completeRemainingSteps() {
            fixture.send(new RequestEvent.AdmissionGranted(spec.id()));
            grantClaim();
            if (fixture.inFlight.isEmpty()) {
                return;
            }
            if (kind.equals("GENERATION")) {
                int position = step.equals("STREAMING") ? 1 : 0;
                sendToken(position);
                fixture.send(new RequestEvent.StreamEnded(attempt(), "stop", position + 1));
            } else {
                fixture.send(
                        new RequestEvent.ServiceResponded(attempt(), new ServiceResponse(200, Map.of(), new byte[0])));
            }
        }

        private void grantClaim() {
            decideClaim(new ClaimResult.Granted(1));
        }

        private void decideClaim(ClaimResult result) {
            fixture.send(new RequestEvent.ClaimDecided(spec.id(), result));
        }

        private void sendToken(int index) {
            fixture.send(new RequestEvent.TokensReceived(attempt(), index, List.of("t" + index)));
        }

        private AttemptId attempt() {
            return kind.equals("GENERATION")
                    ? fixture.lastCommand(RequestCommand.OpenStream.class).attempt()
                    : fixture.lastCommand(RequestCommand.CallService.class).attempt();
        }
    }
}
