package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.ledger.LedgerClient;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.CompletedResponse;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.state.TargetDirectory;

/**
 * Exchanges checkpoints with other routers.
 *
 * <p>As the owner of requests, this router sends their checkpoints to backup routers; as a backup router, it stores
 * those of other owners.
 */
public final class CheckpointReplicator implements CoreComponent, CheckpointStore {
    private final MembershipView membership;
    private final OwnedCheckpoints ownedCheckpoints;
    private final CheckpointReplicas replicas;
    private final CompletedResponseCache completedResponses = new CompletedResponseCache();
    private final CheckpointSearches searches;

    /** Creates a replicator without checkpoints. */
    public CheckpointReplicator(
            MembershipView membership, TargetDirectory targets, LedgerClient ledger, OperationNumberGenerator numbers) {
        this.membership = Objects.requireNonNull(membership, "membership");
        this.ownedCheckpoints = new OwnedCheckpoints(membership);
        this.replicas = new CheckpointReplicas(
                membership, Objects.requireNonNull(targets, "targets"), Objects.requireNonNull(ledger, "ledger"));
        this.searches = new CheckpointSearches(
                membership, Objects.requireNonNull(numbers, "numbers"), replicas, completedResponses);
    }

    @Override
    public List<Command> open(CheckpointSource source, long nowMillis) {
        List<Command> out = new ArrayList<>();
        ownedCheckpoints.open(source, nowMillis, out);
        return out;
    }

    @Override
    public List<Command> flush(CheckpointSource source, long nowMillis) {
        List<Command> out = new ArrayList<>();
        ownedCheckpoints.flush(source, nowMillis, out);
        return out;
    }

    @Override
    public List<Command> replicateTokens(CheckpointSource source, long nowMillis) {
        List<Command> out = new ArrayList<>();
        ownedCheckpoints.replicateTokens(source, nowMillis, out);
        return out;
    }

    @Override
    public List<Command> close(CheckpointSource source, long nowMillis) {
        ownedCheckpoints.close(source, true);
        return List.of();
    }

    @Override
    public List<Command> saveCompleted(CheckpointSource source, CompletedResponse response, long nowMillis) {
        List<Command> out = new ArrayList<>();
        ownedCheckpoints.complete(source, response, out);
        completedResponses.add(response, nowMillis);
        return out;
    }

    @Override
    public void handOver(CheckpointSource source) {
        ownedCheckpoints.close(source, false);
    }

    @Override
    public List<Command> search(RequestSpec spec, int resumeAt, long timeoutMillis, long nowMillis) {
        List<Command> out = new ArrayList<>();
        searches.start(spec, resumeAt, timeoutMillis, nowMillis, out);
        return out;
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> out = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> {
                ownedCheckpoints.tick(nowMillis, out);
                replicas.tick(nowMillis, out);
                completedResponses.tick(nowMillis);
                searches.tick(nowMillis, out);
            }
            case RequestEvent.OutcomeDurable durable -> ownedCheckpoints.onOutcomeDurable(durable.request(), out);
            case Event.PeerUnreachable unreachable -> searches.onPeerUnreachable(unreachable.host(), out);
            case Event.PeerReceived received -> onPeerMessage(received.from(), received.message(), nowMillis, out);
            default -> {}
        }
        return out;
    }

    private void onPeerMessage(HostId from, PeerMessage message, long now, List<Command> out) {
        switch (message) {
            case PeerMessage.CheckpointSave save -> replicas.save(save.checkpoint(), out);
            case PeerMessage.CheckpointAppend append -> replicas.append(from, append, out);
            case PeerMessage.CheckpointDrop drop -> replicas.drop(from, drop.ledgerKey(), drop.request());
            case PeerMessage.CheckpointQuery query -> {
                Optional<Checkpoint> known = ownedCheckpoints
                        .source(query.ledgerKey())
                        .filter(CheckpointSource::isKeptAlive)
                        .map(CheckpointSource::checkpoint)
                        .or(() -> replicas.find(query.ledgerKey()));
                sendReply(from, query.query(), query.ledgerKey(), known, out);
            }
            case PeerMessage.CompletedResponseSave save ->
                replicas.complete(from, save).ifPresent(response -> completedResponses.add(response, now));
            case PeerMessage.CompletedResponseReply found -> searches.onCompletedResponse(from, found, out);
            case PeerMessage.CheckpointReply reply -> searches.onCheckpointReply(from, reply, out);
            case PeerMessage.HandoverRequest request -> handOver(from, request, out);
            default -> {}
        }
    }

    private void handOver(HostId from, PeerMessage.HandoverRequest request, List<Command> out) {
        Optional<CheckpointSource> source =
                ownedCheckpoints.source(request.ledgerKey()).filter(CheckpointSource::isKeptAlive);
        sendReply(from, request.query(), request.ledgerKey(), source.map(CheckpointSource::checkpoint), out);
        source.ifPresent(present -> out.add(
                new Command.Raise(new RequestEvent.TakenOver(present.spec().id()))));
    }

    private void sendReply(
            HostId to, long query, String ledgerKey, Optional<Checkpoint> checkpoint, List<Command> out) {
        Optional<CompletedResponse> completed =
                checkpoint.isPresent() ? Optional.empty() : completedResponses.find(ledgerKey);
        PeerMessage message = completed
                .<PeerMessage>map(response -> new PeerMessage.CompletedResponseReply(query, response))
                .orElseGet(() -> new PeerMessage.CheckpointReply(query, checkpoint));
        membership
                .member(to)
                .ifPresent(member -> out.add(new Command.SendPeer(member.host(), member.address(), message)));
    }
}
