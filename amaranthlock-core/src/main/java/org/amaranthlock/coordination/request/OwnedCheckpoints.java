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

/** Sends the state of this router's open requests to their backup routers. */
final class OwnedCheckpoints {
    /** Age below which it costs less to retry a request than to replicate its tokens. */
    static final long REPLICATION_DELAY_MILLIS = 500;

    /** Interval of the deltas with a new attempt, or with tokens that arrived while the backup was unreachable. */
    static final long DELTA_INTERVAL_MILLIS = 250;

    private final MembershipView membership;
    private final Map<String, OwnedCheckpoint> owned = new LinkedHashMap<>();
    private final Map<RequestId, OwnedCheckpoint> awaitingOutcome = new LinkedHashMap<>();

    OwnedCheckpoints(MembershipView membership) {
        this.membership = membership;
    }

    Optional<CheckpointSource> source(String ledgerKey) {
        return Optional.ofNullable(owned.get(ledgerKey)).map(entry -> entry.source);
    }

    void open(CheckpointSource source, long now, List<Command> out) {
        OwnedCheckpoint entry = new OwnedCheckpoint(source, now);
        owned.put(source.spec().ledgerKey(), entry);
        sendCheckpoint(entry, now, out);
    }

    void flush(CheckpointSource source, long now, List<Command> out) {
        OwnedCheckpoint entry = owned.get(source.spec().ledgerKey());
        if (entry != null && entry.source == source) {
            sendCheckpoint(entry, now, out);
        }
    }

    /** Sends new tokens of a kept-alive request before they are delivered to its client. */
    void replicateTokens(CheckpointSource source, long now, List<Command> out) {
        OwnedCheckpoint entry = owned.get(source.spec().ledgerKey());
        boolean replicated = entry != null && entry.source == source && source.isKeptAlive();
        if (!replicated || now - entry.openedAt < REPLICATION_DELAY_MILLIS) {
            return;
        }
        // Called for every token, so it must not iterate over the list of live routers.
        boolean reachable =
                entry.backup.filter(backup -> !membership.isDead(backup.host())).isPresent();
        if (reachable) {
            sendDelta(entry, now, out);
        }
    }

    /**
     * Removes a request.
     *
     * @param drop whether to drop its checkpoint, because no other router continues the request; the backup router
     *     holds it until the outcome record is durable, and closes the request itself if this router dies before that
     */
    void close(CheckpointSource source, boolean drop) {
        String ledgerKey = source.spec().ledgerKey();
        OwnedCheckpoint entry = owned.get(ledgerKey);
        if (entry == null || entry.source != source) {
            return;
        }
        owned.remove(ledgerKey);
        if (drop && entry.backup.isPresent()) {
            awaitingOutcome.put(source.spec().id(), entry);
        }
    }

    /** Drops the checkpoint of a closed request. */
    void onOutcomeDurable(RequestId request, List<Command> out) {
        OwnedCheckpoint entry = awaitingOutcome.remove(request);
        if (entry != null) {
            RouterMember backup = entry.backup.orElseThrow();
            PeerMessage message =
                    new PeerMessage.CheckpointDrop(entry.source.spec().ledgerKey(), request);
            out.add(new Command.SendPeer(backup.host(), backup.address(), message));
        }
    }

    /** Removes a completed request and sends the rest of its response to the backup router. */
    void complete(CheckpointSource source, CompletedResponse response, List<Command> out) {
        OwnedCheckpoint entry = owned.get(source.spec().ledgerKey());
        if (entry == null || entry.source != source) {
            return;
        }
        boolean backupLive = isBackupLive(entry);
        int firstIndex = backupLive ? entry.sentTokens : 0;
        Optional<RouterMember> backup = backupLive
                ? entry.backup
                : BackupRouterSelector.select(membership, source.spec().ledgerKey(), membership.self());
        CompletedResponse rest = new CompletedResponse(
                response.record(),
                response.connection(),
                response.fingerprint(),
                response.reason(),
                response.tokens().subList(firstIndex, response.tokens().size()));
        PeerMessage message = new PeerMessage.CompletedResponseSave(firstIndex, rest);
        backup.ifPresent(member -> out.add(new Command.SendPeer(member.host(), member.address(), message)));
        // The drop releases the checkpoint even if the backup router cannot decode the response or it is too large for
        // a frame.
        close(source, true);
    }

    void tick(long now, List<Command> out) {
        for (OwnedCheckpoint entry : owned.values()) {
            boolean recentlyOpened = now - entry.openedAt < REPLICATION_DELAY_MILLIS;
            if (!isBackupLive(entry) || (recentlyOpened && isStreamUnreplicated(entry))) {
                sendCheckpoint(entry, now, out);
            } else if (entry.source.isKeptAlive()
                    && !recentlyOpened
                    && now - entry.lastSentAt >= DELTA_INTERVAL_MILLIS) {
                sendDelta(entry, now, out);
            }
        }
    }

    /**
     * Returns whether the backup router does not know the current stream.
     *
     * <p>Without replicated tokens, the stream is the only source of the response of a recently opened request.
     */
    private static boolean isStreamUnreplicated(OwnedCheckpoint entry) {
        CheckpointSource source = entry.source;
        return source.isKeptAlive()
                && source.attempt().isPresent()
                && !source.attempt().equals(entry.sentAttempt);
    }

    private boolean isBackupLive(OwnedCheckpoint entry) {
        if (entry.backup.isEmpty()) {
            return false;
        }
        HostId host = entry.backup.get().host();
        return membership.liveMembers().stream()
                .anyMatch(member -> member.host().equals(host));
    }

    private void sendDelta(OwnedCheckpoint entry, long now, List<Command> out) {
        CheckpointSource source = entry.source;
        int size = source.tokens().size();
        boolean attemptChanged = !source.attempt().equals(entry.sentAttempt);
        if (source.attempt().isEmpty() || (size == entry.sentTokens && !attemptChanged)) {
            return;
        }
        if (entry.sentTokens == 0) {
            // The first tokens determine the model version, which only a complete checkpoint contains.
            sendCheckpoint(entry, now, out);
            return;
        }
        RouterMember backup = entry.backup.orElseThrow();
        PeerMessage message = new PeerMessage.CheckpointAppend(
                source.spec().ledgerKey(),
                source.attempt().get(),
                source.target().orElseThrow().id(),
                entry.sentTokens,
                source.tokens().subList(entry.sentTokens, size));
        out.add(new Command.SendPeer(backup.host(), backup.address(), message));
        entry.recordSend(now);
    }

    private void sendCheckpoint(OwnedCheckpoint entry, long now, List<Command> out) {
        entry.backup =
                BackupRouterSelector.select(membership, entry.source.spec().ledgerKey(), membership.self());
        entry.backup.ifPresent(backup -> {
            PeerMessage message = new PeerMessage.CheckpointSave(entry.source.checkpoint());
            out.add(new Command.SendPeer(backup.host(), backup.address(), message));
            entry.recordSend(now);
        });
    }

    private static final class OwnedCheckpoint {
        private final CheckpointSource source;
        private final long openedAt;
        private Optional<RouterMember> backup = Optional.empty();
        private Optional<AttemptId> sentAttempt = Optional.empty();
        private int sentTokens;
        private long lastSentAt;

        OwnedCheckpoint(CheckpointSource source, long openedAt) {
            this.source = source;
            this.openedAt = openedAt;
        }

        void recordSend(long now) {
            lastSentAt = now;
            sentTokens = source.tokens().size();
            sentAttempt = source.attempt();
        }
    }
}
