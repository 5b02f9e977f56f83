package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class CheckpointOrderTest {
    private final RequestFixture fixture = RequestFixture.withTargets(1);
    private final CheckpointReplicator keeper = new CheckpointReplicator(
            fixture.membership, fixture.services.targets(), fixture.services.ledger(), new OperationNumberGenerator());
    private final RequestCoordinator coordinator = new RequestCoordinator(new RequestDependencies(
            fixture.membership,
            fixture.services.configuration(),
            fixture.services.targets(),
            fixture.services.selector(),
            fixture.services.admission(),
            fixture.services.ledger(),
            fixture.services.poison(),
            keeper));

    private List<Command> send(Event event) {
        List<Command> commands = new ArrayList<>(keeper.handle(event, fixture.now));
        commands.addAll(coordinator.handle(event, fixture.now));
        return commands;
    }

    /** Returns the tokens of the commands in their order, with who gets them. */
    private static List<String> receivers(List<Command> commands) {
        List<String> receivers = new ArrayList<>();
        for (Command command : commands) {
            if (command instanceof RequestCommand.DeliverTokens deliver) {
                receivers.add("caller " + deliver.tokens());
            } else if (command instanceof Command.SendPeer sent) {
                if (sent.message() instanceof PeerMessage.CheckpointAppend append) {
                    receivers.add("keeper " + append.tokens());
                } else if (sent.message() instanceof PeerMessage.CheckpointSave save) {
                    receivers.add("keeper " + save.checkpoint().tokens());
                }
            }
        }
        return receivers;
    }

    /** Guards against a caller that holds tokens which die with its router and its engine. */
    @Test
    void newTokensGoToTheBackupBeforeTheClient() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        send(new RequestEvent.Arrived(spec, OptionalInt.empty()));
        send(new RequestEvent.CheckpointFound(spec.id(), Optional.empty(), true));
        AttemptId attempt = new AttemptId(spec.id(), 1);
        fixture.now += OwnedCheckpoints.REPLICATION_DELAY_MILLIS;

        List<Command> first = send(new RequestEvent.TokensReceived(attempt, 0, List.of("t0")));
        List<Command> next = send(new RequestEvent.TokensReceived(attempt, 1, List.of("t1", "t2")));

        assertThat(receivers(first))
                .containsExactly("keeper [t0]", "caller [t0]")
                .inOrder();
        assertThat(receivers(next))
                .containsExactly("keeper [t1, t2]", "caller [t1, t2]")
                .inOrder();
    }
}
