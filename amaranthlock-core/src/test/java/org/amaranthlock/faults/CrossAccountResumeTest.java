package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.simulation.SimulatedRouterProcess;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a client that sends a request id of another account in Last-Event-ID; the ids can be guessed. */
class CrossAccountResumeTest {
    private final Cluster cluster = new Cluster(5, 4);
    private final List<Command> foreignCommands = new ArrayList<>();

    /**
     * The foreign client uses the same idempotency key on a router that does not serve the request. On the router that
     * does, the commands to both connections would carry the same id, so the HTTP server refuses the foreign client.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void otherAccountReceivesNoTokensAndNoRecord(int number) {
        SimulatedClient owner = SimulatedClient.generation(cluster, RequestKind.LONG_TOKENS);
        owner.connect(0);
        cluster.advance(1_000);
        RequestSpec foreign = foreignSpec(owner.lastSentSpec());
        SimulatedRouterProcess router = cluster.node(number).router();
        cluster.simulation.setCommandExecutor((from, command) -> {
            if (from == router && command instanceof RequestCommand) {
                foreignCommands.add(command);
            }
            cluster.execute(from, command);
        });
        router.offer(new RequestEvent.Arrived(foreign, OptionalInt.of(3)));
        cluster.advance(4_000);

        assertThat(Invariants.check(cluster)).isEmpty();
        assertThat(owner.isCompleted()).isTrue();
        assertThat(owner.connectionCount()).isEqualTo(1);
        assertThat(foreignCommands.stream()
                        .filter(RequestCommand.DeliverTokens.class::isInstance)
                        .toList())
                .isEmpty();
        assertThat(cluster.records().stream()
                        .map(record -> record.account())
                        .distinct()
                        .toList())
                .containsExactly(owner.lastSentSpec().account());
    }

    private static RequestSpec foreignSpec(RequestSpec spec) {
        return new RequestSpec(
                spec.id(),
                new AccountId("other"),
                spec.service(),
                spec.profile(),
                Optional.of(spec.key().orElseThrow()),
                spec.fingerprint(),
                spec.arrivedAtMillis(),
                spec.deadlineMillis(),
                spec.work());
    }
}
