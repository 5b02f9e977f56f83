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
    private final CheckpointReplicator replicator = new CheckpointReplicator(
            fixture.membership,
            fixture.dependencies.targets(),
            fixture.dependencies.ledger(),
            new OperationNumberGenerator());
    private final RequestCoordinator coordinator = new RequestCoordinator(new RequestDependencies(
            fixture.membership,
            fixture.dependencies.configuration(),
            fixture.dependencies.targets(),
            fixture.dependencies.selector(),
            fixture.dependencies.admission(),
            fixture.dependencies.ledger(),
            fixture.dependencies.poison(),
            replicator));

    private List<Command> send(Event event) {
        List<Command> commands = new ArrayList<>(replicator.handle(event, fixture.now));
        commands.addAll(coordinator.handle(event, fixture.now));
        return commands;
    }

    /** Returns the tokens that the commands send to each receiver, in the order of the commands. */
    private static List<String> tokensByReceiver(List<Command> commands) {
        List<String> sentTokens = new ArrayList<>();
        for (Command command : commands) {
            if (command instanceof RequestCommand.DeliverTokens deliver) {
                sentTokens.add("client " + deliver.tokens());
            } else if (command instanceof Command.SendPeer sent) {
                if (sent.message() instanceof PeerMessage.CheckpointAppend append) {
                    sentTokens.add("backup " + append.tokens());
                } else if (sent.message() instanceof PeerMessage.CheckpointSave save) {
                    sentTokens.add("backup " + save.checkpoint().tokens());
                }
            }
        }
        return sentTokens;
    }

    /** Guards against a client that has tokens which are lost when both its router and its engine die. */
    @Test
    void newTokensAreSentToTheBackupBeforeTheClient() {
        RequestSpec spec = fixture.generation("a", ProfileKind.KEPT_ALIVE, 100);
        send(new RequestEvent.Arrived(spec, OptionalInt.empty()));
        send(new RequestEvent.CheckpointSearchCompleted(spec.id(), Optional.empty(), true));
        AttemptId attempt = new AttemptId(spec.id(), 1);
        fixture.now += OwnedCheckpoints.REPLICATION_DELAY_MILLIS;

        List<Command> first = send(new RequestEvent.TokensReceived(attempt, 0, List.of("t0")));
        List<Command> next = send(new RequestEvent.TokensReceived(attempt, 1, List.of("t1", "t2")));

        assertThat(tokensByReceiver(first))
                .containsExactly("backup [t0]", "client [t0]")
                .inOrder();
        assertThat(tokensByReceiver(next))
                .containsExactly("backup [t1, t2]", "client [t1, t2]")
                .inOrder();
    }
}
