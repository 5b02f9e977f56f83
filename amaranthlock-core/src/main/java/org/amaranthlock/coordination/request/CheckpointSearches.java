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

/** Searches this router and others for the state of requests whose clients connected to this router. */
final class CheckpointSearches {
    /**
     * Time after the loss of a router in which a search without a result is inconclusive. The lost router may only be
     * paused, and may hold the only state of a request if the backup router died too. Until a backup router has closed
     * its requests, a missing checkpoint does not prove that there is none.
     */
    static final long LOST_ROUTER_GRACE_MILLIS = CheckpointReplicas.CLIENT_RECONNECT_TIMEOUT_MILLIS;

    /** Time for a live owner to hand over its request; a paused owner is superseded without a handover. */
    static final long HANDOVER_TIMEOUT_MILLIS = 500;

    private final MembershipView membership;
    private final OperationNumberGenerator numbers;
    private final CheckpointReplicas replicas;
    private final CompletedResponseCache completedResponses;
    private final Map<Long, Search> searches = new LinkedHashMap<>();
    private Set<HostId> lastLiveRouters = Set.of();
    private long lastTickAt;
    private long routerLostAt = -LOST_ROUTER_GRACE_MILLIS;

    CheckpointSearches(
            MembershipView membership,
            OperationNumberGenerator numbers,
            CheckpointReplicas replicas,
            CompletedResponseCache completedResponses) {
        this.membership = membership;
        this.numbers = numbers;
        this.replicas = replicas;
        this.completedResponses = completedResponses;
    }

    void start(RequestSpec spec, int resumeAt, long timeoutMillis, long now, List<Command> out) {
        Search search = new Search(numbers.next(), spec, resumeAt, now + timeoutMillis);
        searches.put(search.queryId, search);
        Optional<Checkpoint> local = replicas.find(spec.ledgerKey());
        if (local.isPresent()) {
            onCheckpointFound(search, local.get(), out);
            return;
        }
        Optional<CompletedResponse> response = completedResponses.find(spec.ledgerKey(), spec.id(), resumeAt);
        if (response.isPresent()) {
            finish(search, response.get(), out);
            return;
        }
        for (RouterMember member : BackupRouterSelector.candidates(membership, spec.ledgerKey())) {
            search.pendingRouters.add(member.host());
            send(member, new PeerMessage.CheckpointQuery(search.queryId, spec.ledgerKey()), out);
        }
        if (search.pendingRouters.isEmpty()) {
            finish(search, out);
        }
    }

    void onCheckpointReply(HostId from, PeerMessage.CheckpointReply reply, List<Command> out) {
        Search search = searches.get(reply.query());
        if (search == null) {
            return;
        }
        if (search.handoverOwner.equals(Optional.of(from))) {
            reply.checkpoint().ifPresent(newest -> search.foundCheckpoint = Optional.of(newest));
            finish(search, out);
        } else if (search.handoverOwner.isEmpty()) {
            if (reply.checkpoint().isPresent()) {
                onCheckpointFound(search, reply.checkpoint().get(), out);
            } else {
                onCheckpointAbsent(search, from, out);
            }
        }
    }

    /** Ends a search whose request is completed; the response to another request of the same key counts as absence. */
    void onCompletedResponse(HostId from, PeerMessage.CompletedResponseReply found, List<Command> out) {
        Search search = searches.get(found.query());
        if (search == null) {
            return;
        }
        if (found.response().isResumableBy(search.spec.id(), search.resumeAt)) {
            finish(search, found.response(), out);
        } else {
            onCheckpointReply(from, new PeerMessage.CheckpointReply(found.query(), Optional.empty()), out);
        }
    }

    private void finish(Search search, CompletedResponse response, List<Command> out) {
        searches.remove(search.queryId);
        out.add(new Command.Raise(new RequestEvent.CompletedResponseFound(search.spec.id(), response)));
    }

    void onPeerUnreachable(HostId host, List<Command> out) {
        for (Search search : List.copyOf(searches.values())) {
            if (search.handoverOwner.equals(Optional.of(host))) {
                finish(search, out);
            } else {
                onCheckpointAbsent(search, host, out);
            }
        }
    }

    private void onCheckpointAbsent(Search search, HostId from, List<Command> out) {
        boolean awaited = search.pendingRouters.remove(from);
        if (awaited && search.pendingRouters.isEmpty() && search.handoverOwner.isEmpty()) {
            finish(search, out);
        }
    }

    private void onCheckpointFound(Search search, Checkpoint checkpoint, List<Command> out) {
        search.foundCheckpoint = Optional.of(checkpoint);
        HostId owner = checkpoint.owner();
        Optional<RouterMember> liveOwner = membership.member(owner);
        if (owner.equals(membership.self().host()) || membership.isDead(owner) || liveOwner.isEmpty()) {
            finish(search, out);
            return;
        }
        search.handoverOwner = Optional.of(owner);
        send(liveOwner.get(), new PeerMessage.HandoverRequest(search.queryId, search.spec.ledgerKey()), out);
    }

    /** Ends overdue searches; an owner that does not hand over in time is superseded without a handover. */
    void tick(long now, List<Command> out) {
        detectLostRouters(now);
        for (Search search : List.copyOf(searches.values())) {
            if (search.isOverdue(now)) {
                finish(search, out);
            }
        }
    }

    private void detectLostRouters(long now) {
        Set<HostId> liveRouters = new LinkedHashSet<>();
        membership.liveMembers().forEach(member -> liveRouters.add(member.host()));
        if (!liveRouters.containsAll(lastLiveRouters)) {
            routerLostAt = now;
        }
        lastLiveRouters = liveRouters;
        lastTickAt = now;
    }

    private void finish(Search search, List<Command> out) {
        searches.remove(search.queryId);
        boolean conclusive = search.pendingRouters.isEmpty() && lastTickAt - routerLostAt >= LOST_ROUTER_GRACE_MILLIS;
        out.add(new Command.Raise(
                new RequestEvent.CheckpointSearchCompleted(search.spec.id(), search.foundCheckpoint, conclusive)));
        search.foundCheckpoint.ifPresent(checkpoint -> dropStaleReplicas(search, checkpoint, out));
    }

    /** Drops replicas that other routers could still take over although this router serves the request now. */
    private void dropStaleReplicas(Search search, Checkpoint checkpoint, List<Command> out) {
        String ledgerKey = search.spec.ledgerKey();
        replicas.remove(ledgerKey);
        Optional<HostId> backup = BackupRouterSelector.select(membership, ledgerKey, membership.self())
                .map(RouterMember::host);
        for (RouterMember member : BackupRouterSelector.candidates(membership, ledgerKey)) {
            if (!backup.equals(Optional.of(member.host()))) {
                RequestId request = checkpoint.spec().id();
                send(member, new PeerMessage.CheckpointDrop(ledgerKey, request), out);
            }
        }
    }

    private static void send(RouterMember to, PeerMessage message, List<Command> out) {
        out.add(new Command.SendPeer(to.host(), to.address(), message));
    }

    /** Search among the other routers, which includes the handover by the owner that is found. */
    private static final class Search {
        private final long queryId;
        private final RequestSpec spec;
        private final int resumeAt;
        private final long deadline;
        private final Set<HostId> pendingRouters = new LinkedHashSet<>();
        private Optional<Checkpoint> foundCheckpoint = Optional.empty();
        private Optional<HostId> handoverOwner = Optional.empty();
        private long handoverStartedAt = -1;

        Search(long queryId, RequestSpec spec, int resumeAt, long deadline) {
            this.queryId = queryId;
            this.spec = spec;
            this.resumeAt = resumeAt;
            this.deadline = deadline;
        }

        /** Returns whether the time is over; that of a handover starts with the first tick after its request. */
        boolean isOverdue(long now) {
            if (handoverOwner.isEmpty()) {
                return now >= deadline;
            }
            if (handoverStartedAt < 0) {
                handoverStartedAt = now;
            }
            return now - handoverStartedAt >= HANDOVER_TIMEOUT_MILLIS;
        }
    }
}
