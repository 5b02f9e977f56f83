package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;

class GenerationProperties {
    private static final int TOKEN_COUNT = 24;

    enum StepKind {
        NEXT_TOKENS,
        DUPLICATE,
        OVERLAP,
        GAP,
        ATTEMPT_LOST,
        REFUSED_BY_TARGET,
        LATE_TOKENS,
        LATE_END,
        WRONG_TOKEN_COUNT,
        STALL,
        CLIENT_DISCONNECTED,
        CLIENT_RECONNECTED
    }

    record Step(StepKind kind, int amount) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step = Combinators.combine(
                        Arbitraries.of(StepKind.class), Arbitraries.integers().between(1, 5))
                .as(Step::new);
        return step.list().ofMaxSize(40);
    }

    /**
     * Guards against responses with missing, repeated or mixed tokens, and against missing or duplicate final records.
     */
    @Property(seed = "20261203", tries = 2000, shrinking = ShrinkingMode.FULL)
    void everyConnectionReceivesTheResponseFromItsPosition(@ForAll("steps") List<Step> steps) {
        Scenario scenario = new Scenario();
        scenario.run(steps);
        scenario.finish();
        scenario.check();
    }

    /** Connection of the client, with the number of deliveries that preceded it. */
    private record Connection(RequestId id, int resumeAt, int firstDelivery) {}

    /** Every token contains the number of its attempt, so a response that mixes two generations is detected. */
    private static final class Scenario {
        private final RequestFixture fixture = RequestFixture.withTargets(48, Capability.RESUME);
        private final RequestSpec originalSpec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 1000);
        private final List<Connection> connections = new ArrayList<>();
        private int position;
        private int reconnectCount;
        private int recomputed;
        private int refusals;
        private long disconnectedAt;
        private boolean connected;

        Scenario() {
            arrive(originalSpec, OptionalInt.empty());
            fixture.send(new RequestEvent.CheckpointSearchCompleted(originalSpec.id(), Optional.empty(), true));
        }

        private void arrive(RequestSpec spec, OptionalInt resumeAt) {
            int before =
                    fixture.commandsOfType(RequestCommand.DeliverTokens.class).size();
            connections.add(new Connection(spec.id(), resumeAt.orElse(0), before));
            connected = true;
            fixture.send(new RequestEvent.Arrived(spec, resumeAt));
        }

        private RequestCommand.OpenStream awaitCurrentStream() {
            for (int i = 0; fixture.inFlight.isEmpty(); i++) {
                assertThat(i).isLessThan(120);
                fixture.advance(50);
            }
            return fixture.lastCommand(RequestCommand.OpenStream.class);
        }

        private List<String> expectedTokens(RequestCommand.OpenStream open) {
            List<String> tokens = new ArrayList<>(open.prefix());
            for (int i = tokens.size(); i < TOKEN_COUNT; i++) {
                tokens.add(i + "@" + open.attempt().number());
            }
            return tokens;
        }

        private void sendTokens(RequestCommand.OpenStream open, int from, int to) {
            int end = Math.min(to, TOKEN_COUNT);
            if (from < end) {
                if (fixture.inFlight.containsKey(open.attempt())) {
                    recomputed += Math.max(0, Math.min(end, open.prefix().size()) - from);
                }
                fixture.send(new RequestEvent.TokensReceived(
                        open.attempt(), from, expectedTokens(open).subList(from, end)));
            }
        }

        void run(List<Step> steps) {
            for (Step step : steps) {
                fixture.advance(10);
                if (!connected && fixture.now - disconnectedAt > 20_000) {
                    reconnect(1);
                }
                apply(step, awaitCurrentStream());
            }
        }

        private void apply(Step step, RequestCommand.OpenStream open) {
            AttemptId attempt = open.attempt();
            switch (step.kind()) {
                case NEXT_TOKENS -> {
                    sendTokens(open, position, position + step.amount());
                    position = Math.min(TOKEN_COUNT, position + step.amount());
                }
                case DUPLICATE -> sendTokens(open, Math.max(0, position - step.amount()), position);
                case OVERLAP -> {
                    sendTokens(open, Math.max(0, position - step.amount()), position + 1);
                    position = Math.min(TOKEN_COUNT, position + 1);
                }
                case GAP -> sendTokens(open, position + step.amount(), position + step.amount() + 2);
                case ATTEMPT_LOST ->
                    fixture.failAttempt(attempt, step.amount() > 2 ? FailureKind.LOST : FailureKind.TIMED_OUT);
                case REFUSED_BY_TARGET -> {
                    if (refusals++ < 10) {
                        fixture.failAttempt(attempt, FailureKind.BUSY);
                    }
                }
                case LATE_TOKENS ->
                    findPreviousStream(open)
                            .ifPresent(previous -> sendTokens(previous, position, position + step.amount()));
                case LATE_END ->
                    findPreviousStream(open)
                            .ifPresent(previous ->
                                    fixture.send(new RequestEvent.StreamEnded(previous.attempt(), "stop", position)));
                case WRONG_TOKEN_COUNT ->
                    fixture.send(new RequestEvent.StreamEnded(attempt, "stop", position + step.amount()));
                case STALL -> fixture.advance(2500);
                case CLIENT_DISCONNECTED -> disconnect();
                case CLIENT_RECONNECTED -> reconnect(step.amount());
                default -> throw new AssertionError(step);
            }
        }

        private Optional<RequestCommand.OpenStream> findPreviousStream(RequestCommand.OpenStream open) {
            return fixture.commandsOfType(RequestCommand.OpenStream.class).stream()
                    .filter(other -> other != open)
                    .reduce((earlier, later) -> later);
        }

        private void disconnect() {
            if (connected) {
                connected = false;
                disconnectedAt = fixture.now;
                fixture.send(new RequestEvent.ClientDisconnected(
                        connections.getLast().id()));
            }
        }

        private void reconnect(int overlap) {
            reconnectCount++;
            int resumeAt = Math.max(0, position - overlap);
            // A client that has tokens sends the id of their request in Last-Event-ID; others send a request with a new
            // id.
            RequestSpec reconnecting = resumeAt > 0
                    ? originalSpec
                    : fixture.generation("back-" + reconnectCount, ProfileKind.KEPT_ALIVE, 1000);
            arrive(reconnecting, OptionalInt.of(resumeAt));
        }

        void finish() {
            if (!connected) {
                reconnect(1);
            }
            RequestCommand.OpenStream open = awaitCurrentStream();
            sendTokens(open, position, TOKEN_COUNT);
            fixture.send(new RequestEvent.StreamEnded(open.attempt(), "stop", TOKEN_COUNT));
            fixture.advance(40_000);
        }

        void check() {
            List<String> tokens = expectedTokens(fixture.lastCommand(RequestCommand.OpenStream.class));
            List<RequestCommand.DeliverTokens> all = fixture.commandsOfType(RequestCommand.DeliverTokens.class);
            for (int i = 0; i < connections.size(); i++) {
                Connection connection = connections.get(i);
                boolean last = i == connections.size() - 1;
                int end = last ? all.size() : connections.get(i + 1).firstDelivery();
                List<String> delivered = new ArrayList<>();
                for (RequestCommand.DeliverTokens deliver : all.subList(connection.firstDelivery(), end)) {
                    assertThat(deliver.request()).isEqualTo(connection.id());
                    assertThat(deliver.originalRequest()).isEqualTo(originalSpec.id());
                    assertThat(deliver.firstIndex()).isEqualTo(connection.resumeAt() + delivered.size());
                    delivered.addAll(deliver.tokens());
                }
                List<String> rest = tokens.subList(connection.resumeAt(), tokens.size());
                List<String> expected = last ? rest : rest.subList(0, delivered.size());
                assertThat(delivered).containsExactlyElementsIn(expected).inOrder();
            }
            assertThat(fixture.commandsOfType(RequestCommand.CompleteStream.class))
                    .hasSize(1);
            assertThat(fixture.commandsOfType(RequestCommand.Refuse.class)).isEmpty();
            assertThat(fixture.records()).hasSize(1);
            assertThat(fixture.records().getFirst().outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(fixture.records().getFirst().executionStatus()).isEqualTo(ExecutionStatus.RAN);
            assertThat(fixture.records().getFirst().tokensRecomputed()).isEqualTo(recomputed);
            assertThat(fixture.coordinator.openRequestCount()).isEqualTo(0);
        }
    }
}
