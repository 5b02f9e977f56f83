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

/** Exchanges checkpoints with other routers, as the owner of requests and as the keeper of those of others. */
public final class CheckpointReplicator implements CoreComponent, CheckpointStore {
    private final MembershipView membership;
    private final OwnedCheckpoints owned;
    private final CheckpointReplicas kept;
    private final CompletedResponseCache completed = new CompletedResponseCache();
    private final CheckpointSearches searches;

    /** Creates a keeper without checkpoints. */
    public CheckpointReplicator(
            MembershipView membership, TargetDirectory targets, LedgerClient ledger, OperationNumberGenerator numbers) {
        this.membership = Objects.requireNonNull(membership, "membership");
        this.owned = new OwnedCheckpoints(membership);
        this.kept = new CheckpointReplicas(
                membership, Objects.requireNonNull(targets, "targets"), Objects.requireNonNull(ledger, "ledger"));
        this.searches = new CheckpointSearches(membership, Objects.requireNonNull(numbers, "numbers"), kept, completed);
    }

    @Override
    public List<Command> open(CheckpointSource source, long nowMillis) {
        List<Command> out = new ArrayList<>();
        owned.open(source, nowMillis, out);
        return out;
    }

    @Override
    public List<Command> flush(CheckpointSource source, long nowMillis) {
        List<Command> out = new ArrayList<>();
        owned.flush(source, nowMillis, out);
        return out;
    }

    @Override
    public List<Command> replicateTokens(CheckpointSource source, long nowMillis) {
        List<Command> out = new ArrayList<>();
        owned.replicateTokens(source, nowMillis, out);
        return out;
    }

    @Override
    public List<Command> close(CheckpointSource source, long nowMillis) {
        owned.close(source, true);
        return List.of();
    }

    @Override
    public List<Command> completed(CheckpointSource source, CompletedResponse answer, long nowMillis) {
        List<Command> out = new ArrayList<>();
        owned.complete(source, answer, out);
        completed.add(answer, nowMillis);
        return out;
    }

    @Override
    public void handOver(CheckpointSource source) {
        owned.close(source, false);
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
                owned.tick(nowMillis, out);
                kept.tick(nowMillis, out);
                completed.tick(nowMillis);
                searches.tick(nowMillis, out);
            }
            case RequestEvent.OutcomeDurable lasting -> owned.onOutcomeDurable(lasting.request(), out);
            case Event.PeerUnreachable unreachable -> searches.onPeerUnreachable(unreachable.host(), out);
            case Event.PeerReceived received -> received(received.from(), received.message(), nowMillis, out);
            default -> {}
        }
        return out;
    }

    private void received(HostId from, PeerMessage message, long now, List<Command> out) {
        switch (message) {
            case PeerMessage.CheckpointSave save -> kept.save(save.checkpoint(), out);
            case PeerMessage.CheckpointAppend append -> kept.append(from, append, out);
            case PeerMessage.CheckpointDrop drop -> kept.drop(from, drop.ledgerKey(), drop.request());
            case PeerMessage.CheckpointQuery query -> {
                Optional<Checkpoint> known = owned.source(query.ledgerKey())
                        .filter(CheckpointSource::isKeptAlive)
                        .map(CheckpointSource::checkpoint)
                        .or(() -> kept.find(query.ledgerKey()));
                answer(from, query.query(), query.ledgerKey(), known, out);
            }
            case PeerMessage.CompletedResponseSave save ->
                kept.complete(from, save).ifPresent(answer -> completed.add(answer, now));
            case PeerMessage.CompletedResponseReply found -> searches.completed(from, found, out);
            case PeerMessage.CheckpointReply answer -> searches.onAnswer(from, answer, out);
            case PeerMessage.HandoverRequest request -> handOver(from, request, out);
            default -> {}
        }
    }

    private void handOver(HostId from, PeerMessage.HandoverRequest request, List<Command> out) {
        Optional<CheckpointSource> source = owned.source(request.ledgerKey()).filter(CheckpointSource::isKeptAlive);
        answer(from, request.query(), request.ledgerKey(), source.map(CheckpointSource::checkpoint), out);
        source.ifPresent(present -> out.add(
                new Command.Raise(new RequestEvent.TakenOver(present.spec().id()))));
    }

    private void answer(HostId to, long query, String ledgerKey, Optional<Checkpoint> checkpoint, List<Command> out) {
        Optional<CompletedResponse> complete = checkpoint.isPresent() ? Optional.empty() : completed.find(ledgerKey);
        PeerMessage message = complete.<PeerMessage>map(answer -> new PeerMessage.CompletedResponseReply(query, answer))
                .orElseGet(() -> new PeerMessage.CheckpointReply(query, checkpoint));
        membership
                .member(to)
                .ifPresent(member -> out.add(new Command.SendPeer(member.host(), member.address(), message)));
    }
}
