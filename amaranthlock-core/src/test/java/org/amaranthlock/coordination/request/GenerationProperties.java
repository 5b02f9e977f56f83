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
    private static final int LENGTH = 24;

    enum Kind {
        NEXT,
        DUPLICATE,
        OVERLAP,
        GAP,
        LOSS,
        REFUSED_BY_TARGET,
        LATE_TOKENS,
        LATE_END,
        WRONG_COUNT,
        STALL,
        CLIENT_GONE,
        CLIENT_BACK
    }

    record Step(Kind kind, int amount) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step = Combinators.combine(
                        Arbitraries.of(Kind.class), Arbitraries.integers().between(1, 5))
                .as(Step::new);
        return step.list().ofMaxSize(40);
    }

    /** Guards against answers with missing, repeated or mixed tokens and against missing or double final records. */
    @Property(seed = "20261203", tries = 2000, shrinking = ShrinkingMode.FULL)
    void deliveredTokensAreTheAnswerFromThePositionOfEachConnection(@ForAll("steps") List<Step> steps) {
        Scenario scenario = new Scenario();
        scenario.run(steps);
        scenario.finish();
        scenario.check();
    }

    /** A connection of the caller, with the number of deliveries before it. */
    private record Connection(RequestId id, int resumeAt, int firstDelivery) {}

    /** Every engine's token carries its attempt, so an answer mixed from two generations is recognised. */
    private static final class Scenario {
        private final RequestFixture fixture = RequestFixture.withTargets(48, Capability.RESUME);
        private final RequestSpec first = fixture.generation("a", ProfileKind.KEPT_ALIVE, 1000);
        private final List<Connection> connections = new ArrayList<>();
        private int position;
        private int connectionCount;
        private int recomputed;
        private int refusals;
        private long goneAt;
        private boolean connected;

        Scenario() {
            arrive(first, OptionalInt.empty());
            fixture.send(new RequestEvent.CheckpointFound(first.id(), Optional.empty(), true));
        }

        private void arrive(RequestSpec spec, OptionalInt resumeAt) {
            int before = fixture.all(RequestCommand.DeliverTokens.class).size();
            connections.add(new Connection(spec.id(), resumeAt.orElse(0), before));
            connected = true;
            fixture.send(new RequestEvent.Arrived(spec, resumeAt));
        }

        private RequestCommand.OpenStream current() {
            for (int i = 0; fixture.inFlight.isEmpty(); i++) {
                assertThat(i).isLessThan(120);
                fixture.advance(50);
            }
            return fixture.last(RequestCommand.OpenStream.class);
        }

        private List<String> answerOf(RequestCommand.OpenStream open) {
            List<String> answer = new ArrayList<>(open.prefix());
            for (int i = answer.size(); i < LENGTH; i++) {
                answer.add(i + "@" + open.attempt().number());
            }
            return answer;
        }

        private void chunk(RequestCommand.OpenStream open, int from, int to) {
            int end = Math.min(to, LENGTH);
            if (from < end) {
                if (fixture.inFlight.containsKey(open.attempt())) {
                    recomputed += Math.max(0, Math.min(end, open.prefix().size()) - from);
                }
                fixture.send(new RequestEvent.TokensReceived(
                        open.attempt(), from, answerOf(open).subList(from, end)));
            }
        }

        void run(List<Step> steps) {
            for (Step step : steps) {
                fixture.advance(10);
                if (!connected && fixture.now - goneAt > 20_000) {
                    back(1);
                }
                apply(step, current());
            }
        }

        private void apply(Step step, RequestCommand.OpenStream open) {
            AttemptId attempt = open.attempt();
            switch (step.kind()) {
                case NEXT -> {
                    chunk(open, position, position + step.amount());
                    position = Math.min(LENGTH, position + step.amount());
                }
                case DUPLICATE -> chunk(open, Math.max(0, position - step.amount()), position);
                case OVERLAP -> {
                    chunk(open, Math.max(0, position - step.amount()), position + 1);
                    position = Math.min(LENGTH, position + 1);
                }
                case GAP -> chunk(open, position + step.amount(), position + step.amount() + 2);
                case LOSS -> fixture.fail(attempt, step.amount() > 2 ? FailureKind.LOST : FailureKind.TIMED_OUT);
                case REFUSED_BY_TARGET -> {
                    if (refusals++ < 10) {
                        fixture.fail(attempt, FailureKind.BUSY);
                    }
                }
                case LATE_TOKENS -> former(open).ifPresent(old -> chunk(old, position, position + step.amount()));
                case LATE_END ->
                    former(open)
                            .ifPresent(
                                    old -> fixture.send(new RequestEvent.StreamEnded(old.attempt(), "stop", position)));
                case WRONG_COUNT ->
                    fixture.send(new RequestEvent.StreamEnded(attempt, "stop", position + step.amount()));
                case STALL -> fixture.advance(2500);
                case CLIENT_GONE -> gone();
                case CLIENT_BACK -> back(step.amount());
                default -> throw new AssertionError(step);
            }
        }

        private Optional<RequestCommand.OpenStream> former(RequestCommand.OpenStream open) {
            return fixture.all(RequestCommand.OpenStream.class).stream()
                    .filter(other -> other != open)
                    .reduce((earlier, later) -> later);
        }

        private void gone() {
            if (connected) {
                connected = false;
                goneAt = fixture.now;
                fixture.send(new RequestEvent.ClientDisconnected(
                        connections.getLast().id()));
            }
        }

        private void back(int overlap) {
            connectionCount++;
            int resumeAt = Math.max(0, position - overlap);
            // A caller that holds tokens names their request in Last-Event-ID; another one repeats its request.
            RequestSpec repeat =
                    resumeAt > 0 ? first : fixture.generation("back-" + connectionCount, ProfileKind.KEPT_ALIVE, 1000);
            arrive(repeat, OptionalInt.of(resumeAt));
        }

        void finish() {
            if (!connected) {
                back(1);
            }
            RequestCommand.OpenStream open = current();
            chunk(open, position, LENGTH);
            fixture.send(new RequestEvent.StreamEnded(open.attempt(), "stop", LENGTH));
            fixture.advance(40_000);
        }

        void check() {
            List<String> answer = answerOf(fixture.last(RequestCommand.OpenStream.class));
            List<RequestCommand.DeliverTokens> all = fixture.all(RequestCommand.DeliverTokens.class);
            for (int i = 0; i < connections.size(); i++) {
                Connection connection = connections.get(i);
                boolean last = i == connections.size() - 1;
                int end = last ? all.size() : connections.get(i + 1).firstDelivery();
                List<String> delivered = new ArrayList<>();
                for (RequestCommand.DeliverTokens deliver : all.subList(connection.firstDelivery(), end)) {
                    assertThat(deliver.request()).isEqualTo(connection.id());
                    assertThat(deliver.originalRequest()).isEqualTo(first.id());
                    assertThat(deliver.firstIndex()).isEqualTo(connection.resumeAt() + delivered.size());
                    delivered.addAll(deliver.tokens());
                }
                List<String> rest = answer.subList(connection.resumeAt(), answer.size());
                List<String> expected = last ? rest : rest.subList(0, delivered.size());
                assertThat(delivered).containsExactlyElementsIn(expected).inOrder();
            }
            assertThat(fixture.all(RequestCommand.CompleteStream.class)).hasSize(1);
            assertThat(fixture.all(RequestCommand.Refuse.class)).isEmpty();
            assertThat(fixture.records()).hasSize(1);
            assertThat(fixture.records().getFirst().outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(fixture.records().getFirst().executionStatus()).isEqualTo(ExecutionStatus.RAN);
            assertThat(fixture.records().getFirst().tokensRecomputed()).isEqualTo(recomputed);
            assertThat(fixture.coordinator.openRequests()).isEqualTo(0);
        }
    }
}
