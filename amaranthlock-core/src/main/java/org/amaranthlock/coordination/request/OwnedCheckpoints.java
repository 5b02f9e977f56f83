package org.amaranthlock.coordination.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.protocol.peer.CompletedResponse;
import org.amaranthlock.protocol.peer.PeerMessage;

/** The owner's side: sends the state of this router's open requests to their keepers. */
final class OwnedCheckpoints {
    /** Younger requests cost less to repeat than to keep. */
    static final long REPLICATION_DELAY_MILLIS = 500;

    /** Pace of the deltas that no token sets off: a change of the attempt, and tokens that had no reachable keeper. */
    static final long DELTA_INTERVAL_MILLIS = 250;

    private final MembershipView membership;
    private final Map<String, OwnedCheckpoint> owned = new LinkedHashMap<>();
    private final Map<RequestId, OwnedCheckpoint> closing = new LinkedHashMap<>();

    OwnedCheckpoints(MembershipView membership) {
        this.membership = membership;
    }

    Optional<CheckpointSource> source(String ledgerKey) {
        return Optional.ofNullable(owned.get(ledgerKey)).map(entry -> entry.source);
    }

    void open(CheckpointSource source, long now, List<Command> out) {
        OwnedCheckpoint entry = new OwnedCheckpoint(source, now);
        owned.put(source.spec().ledgerKey(), entry);
        saveWhole(entry, now, out);
    }

    void flush(CheckpointSource source, long now, List<Command> out) {
        OwnedCheckpoint entry = owned.get(source.spec().ledgerKey());
        if (entry != null && entry.source == source) {
            saveWhole(entry, now, out);
        }
    }

    /** Sends new tokens of a kept-alive request before its caller gets them. */
    void replicateTokens(CheckpointSource source, long now, List<Command> out) {
        OwnedCheckpoint entry = owned.get(source.spec().ledgerKey());
        boolean kept = entry != null && entry.source == source && source.isKeptAlive();
        if (!kept || now - entry.openedAt < REPLICATION_DELAY_MILLIS) {
            return;
        }
        // Called for every token, so it must not walk through the list of live routers.
        boolean reachable =
                entry.keeper.filter(keeper -> !membership.isDead(keeper.host())).isPresent();
        if (reachable) {
            sendDelta(entry, now, out);
        }
    }

    /**
     * Forgets a request.
     *
     * @param drop whether its checkpoint ends, because no other router carries the request on; the keeper holds it
     *     until the record lasts, and closes the request itself if this router dies before
     */
    void close(CheckpointSource source, boolean drop) {
        String ledgerKey = source.spec().ledgerKey();
        OwnedCheckpoint entry = owned.get(ledgerKey);
        if (entry == null || entry.source != source) {
            return;
        }
        owned.remove(ledgerKey);
        if (drop && entry.keeper.isPresent()) {
            closing.put(source.spec().id(), entry);
        }
    }

    /** Drops the checkpoint of a closed request. */
    void onOutcomeDurable(RequestId request, List<Command> out) {
        OwnedCheckpoint entry = closing.remove(request);
        if (entry != null) {
            RouterMember keeper = entry.keeper.orElseThrow();
            PeerMessage message =
                    new PeerMessage.CheckpointDrop(entry.source.spec().ledgerKey(), request);
            out.add(new Command.SendPeer(keeper.host(), keeper.address(), message));
        }
    }

    /** Forgets a request and hands the rest of its answer to the keeper. */
    void complete(CheckpointSource source, CompletedResponse answer, List<Command> out) {
        OwnedCheckpoint entry = owned.get(source.spec().ledgerKey());
        if (entry == null || entry.source != source) {
            return;
        }
        boolean live = keeperLive(entry);
        int firstIndex = live ? entry.sentTokens : 0;
        Optional<RouterMember> keeper = live
                ? entry.keeper
                : BackupRouterSelector.select(membership, source.spec().ledgerKey(), membership.self());
        CompletedResponse rest = new CompletedResponse(
                answer.record(),
                answer.connection(),
                answer.fingerprint(),
                answer.reason(),
                answer.tokens().subList(firstIndex, answer.tokens().size()));
        PeerMessage message = new PeerMessage.CompletedResponseSave(firstIndex, rest);
        keeper.ifPresent(member -> out.add(new Command.SendPeer(member.host(), member.address(), message)));
        // The drop frees the checkpoint also where the answer is not understood or exceeds a frame.
        close(source, true);
    }

    void tick(long now, List<Command> out) {
        for (OwnedCheckpoint entry : owned.values()) {
            boolean young = now - entry.openedAt < REPLICATION_DELAY_MILLIS;
            if (!keeperLive(entry) || (young && streamMoved(entry))) {
                saveWhole(entry, now, out);
            } else if (entry.source.isKeptAlive() && !young && now - entry.sentAt >= DELTA_INTERVAL_MILLIS) {
                sendDelta(entry, now, out);
            }
        }
    }

    /** Tells whether the keeper does not know the present stream, which is the only source of a young answer. */
    private static boolean streamMoved(OwnedCheckpoint entry) {
        CheckpointSource source = entry.source;
        return source.isKeptAlive()
                && source.attempt().isPresent()
                && !source.attempt().equals(entry.sentAttempt);
    }

    private boolean keeperLive(OwnedCheckpoint entry) {
        if (entry.keeper.isEmpty()) {
            return false;
        }
        HostId host = entry.keeper.get().host();
        return membership.liveMembers().stream()
                .anyMatch(member -> member.host().equals(host));
    }

    private void sendDelta(OwnedCheckpoint entry, long now, List<Command> out) {
        CheckpointSource source = entry.source;
        int size = source.tokens().size();
        boolean moved = !source.attempt().equals(entry.sentAttempt);
        if (source.attempt().isEmpty() || (size == entry.sentTokens && !moved)) {
            return;
        }
        if (entry.sentTokens == 0) {
            // The first tokens fix the model version, which only the whole checkpoint carries.
            saveWhole(entry, now, out);
            return;
        }
        RouterMember keeper = entry.keeper.orElseThrow();
        PeerMessage message = new PeerMessage.CheckpointAppend(
                source.spec().ledgerKey(),
                source.attempt().get(),
                source.target().orElseThrow().id(),
                entry.sentTokens,
                source.tokens().subList(entry.sentTokens, size));
        out.add(new Command.SendPeer(keeper.host(), keeper.address(), message));
        entry.recordSend(now);
    }

    private void saveWhole(OwnedCheckpoint entry, long now, List<Command> out) {
        entry.keeper =
                BackupRouterSelector.select(membership, entry.source.spec().ledgerKey(), membership.self());
        entry.keeper.ifPresent(keeper -> {
            PeerMessage message = new PeerMessage.CheckpointSave(entry.source.checkpoint());
            out.add(new Command.SendPeer(keeper.host(), keeper.address(), message));
            entry.recordSend(now);
        });
    }

    private static final class OwnedCheckpoint {
        private final CheckpointSource source;
        private final long openedAt;
        private Optional<RouterMember> keeper = Optional.empty();
        private Optional<AttemptId> sentAttempt = Optional.empty();
        private int sentTokens;
        private long sentAt;

        OwnedCheckpoint(CheckpointSource source, long openedAt) {
            this.source = source;
            this.openedAt = openedAt;
        }

        void recordSend(long now) {
            sentAt = now;
            sentTokens = source.tokens().size();
            sentAttempt = source.attempt();
        }
    }
}
