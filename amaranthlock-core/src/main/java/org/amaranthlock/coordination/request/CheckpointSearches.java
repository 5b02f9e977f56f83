package org.amaranthlock.coordination.request;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.CompletedResponse;
import org.amaranthlock.protocol.peer.PeerMessage;

/** Searches for the state of requests whose callers came to this router. */
final class CheckpointSearches {
    /**
     * A router that left the membership may be paused, and may hold the only state of a request when the keeper died
     * too. Absence proves nothing until its requests are closed by a keeper.
     */
    static final long LOST_ROUTER_MILLIS = CheckpointReplicas.CLIENT_RETURN_MILLIS;

    /** Time for a live owner to hand over; an owner that is paused is superseded unasked. */
    static final long HANDOVER_MILLIS = 500;

    private final MembershipView membership;
    private final OperationNumberGenerator numbers;
    private final CheckpointReplicas kept;
    private final CompletedResponseCache completed;
    private final Map<Long, Search> searches = new LinkedHashMap<>();
    private Set<HostId> lastLive = Set.of();
    private long lastTick;
    private long routerLostAt = -LOST_ROUTER_MILLIS;

    CheckpointSearches(
            MembershipView membership,
            OperationNumberGenerator numbers,
            CheckpointReplicas kept,
            CompletedResponseCache completed) {
        this.membership = membership;
        this.numbers = numbers;
        this.kept = kept;
        this.completed = completed;
    }

    void start(RequestSpec spec, int resumeAt, long timeoutMillis, long now, List<Command> out) {
        Search search = new Search(numbers.next(), spec, resumeAt, now + timeoutMillis);
        searches.put(search.query, search);
        Optional<Checkpoint> local = kept.find(spec.ledgerKey());
        if (local.isPresent()) {
            found(search, local.get(), out);
            return;
        }
        Optional<CompletedResponse> answer = completed.find(spec.ledgerKey(), spec.id(), resumeAt);
        if (answer.isPresent()) {
            finish(search, answer.get(), out);
            return;
        }
        for (RouterMember member : BackupRouterSelector.candidates(membership, spec.ledgerKey())) {
            search.awaited.add(member.host());
            send(member, new PeerMessage.CheckpointQuery(search.query, spec.ledgerKey()), out);
        }
        if (search.awaited.isEmpty()) {
            finish(search, out);
        }
    }

    void onAnswer(HostId from, PeerMessage.CheckpointReply answer, List<Command> out) {
        Search search = searches.get(answer.query());
        if (search == null) {
            return;
        }
        if (search.handover.equals(Optional.of(from))) {
            answer.checkpoint().ifPresent(newest -> search.found = Optional.of(newest));
            finish(search, out);
        } else if (search.handover.isEmpty()) {
            if (answer.checkpoint().isPresent()) {
                found(search, answer.checkpoint().get(), out);
            } else {
                absent(search, from, out);
            }
        }
    }

    /** Ends a search whose request is complete; an answer to another request of the same key counts as absence. */
    void completed(HostId from, PeerMessage.CompletedResponseReply found, List<Command> out) {
        Search search = searches.get(found.query());
        if (search == null) {
            return;
        }
        if (found.response().isResumableBy(search.spec.id(), search.resumeAt)) {
            finish(search, found.response(), out);
        } else {
            onAnswer(from, new PeerMessage.CheckpointReply(found.query(), Optional.empty()), out);
        }
    }

    private void finish(Search search, CompletedResponse answer, List<Command> out) {
        searches.remove(search.query);
        out.add(new Command.Raise(new RequestEvent.CompletedResponseFound(search.spec.id(), answer)));
    }

    void onPeerUnreachable(HostId host, List<Command> out) {
        for (Search search : List.copyOf(searches.values())) {
            if (search.handover.equals(Optional.of(host))) {
                finish(search, out);
            } else {
                absent(search, host, out);
            }
        }
    }

    private void absent(Search search, HostId from, List<Command> out) {
        boolean awaited = search.awaited.remove(from);
        if (awaited && search.awaited.isEmpty() && search.handover.isEmpty()) {
            finish(search, out);
        }
    }

    private void found(Search search, Checkpoint checkpoint, List<Command> out) {
        search.found = Optional.of(checkpoint);
        HostId owner = checkpoint.owner();
        Optional<RouterMember> live = membership.member(owner);
        if (owner.equals(membership.self().host()) || membership.isDead(owner) || live.isEmpty()) {
            finish(search, out);
            return;
        }
        search.handover = Optional.of(owner);
        send(live.get(), new PeerMessage.HandoverRequest(search.query, search.spec.ledgerKey()), out);
    }

    /** Ends searches that took too long; an owner that does not answer in time is superseded unasked. */
    void tick(long now, List<Command> out) {
        noteLostRouters(now);
        for (Search search : List.copyOf(searches.values())) {
            if (search.isOverdue(now)) {
                finish(search, out);
            }
        }
    }

    private void noteLostRouters(long now) {
        Set<HostId> live = new LinkedHashSet<>();
        membership.liveMembers().forEach(member -> live.add(member.host()));
        if (!live.containsAll(lastLive)) {
            routerLostAt = now;
        }
        lastLive = live;
        lastTick = now;
    }

    private void finish(Search search, List<Command> out) {
        searches.remove(search.query);
        boolean conclusive = search.awaited.isEmpty() && lastTick - routerLostAt >= LOST_ROUTER_MILLIS;
        out.add(new Command.Raise(new RequestEvent.CheckpointFound(search.spec.id(), search.found, conclusive)));
        search.found.ifPresent(checkpoint -> dropFormer(search, checkpoint, out));
    }

    /** Drops copies that would be adopted although this router serves the request now. */
    private void dropFormer(Search search, Checkpoint checkpoint, List<Command> out) {
        String ledgerKey = search.spec.ledgerKey();
        kept.remove(ledgerKey);
        Optional<HostId> keeper = BackupRouterSelector.select(membership, ledgerKey, membership.self())
                .map(RouterMember::host);
        for (RouterMember member : BackupRouterSelector.candidates(membership, ledgerKey)) {
            if (!keeper.equals(Optional.of(member.host()))) {
                RequestId request = checkpoint.spec().id();
                send(member, new PeerMessage.CheckpointDrop(ledgerKey, request), out);
            }
        }
    }

    private static void send(RouterMember to, PeerMessage message, List<Command> out) {
        out.add(new Command.SendPeer(to.host(), to.address(), message));
    }

    private static final class Search {
        private final long query;
        private final RequestSpec spec;
        private final int resumeAt;
        private final long endsAt;
        private final Set<HostId> awaited = new LinkedHashSet<>();
        private Optional<Checkpoint> found = Optional.empty();
        private Optional<HostId> handover = Optional.empty();
        private long handoverAt = -1;

        Search(long query, RequestSpec spec, int resumeAt, long endsAt) {
            this.query = query;
            this.spec = spec;
            this.resumeAt = resumeAt;
            this.endsAt = endsAt;
        }

        boolean isOverdue(long now) {
            if (handover.isEmpty()) {
                return now >= endsAt;
            }
            if (handoverAt < 0) {
                handoverAt = now;
            }
            return now - handoverAt >= HANDOVER_MILLIS;
        }
    }
}
