package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.ledger.LedgerClient;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.CompletedResponse;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;
import org.amaranthlock.state.TargetDirectory;

/** Stores checkpoints of other routers' requests and closes the requests whose owner died. */
final class CheckpointReplicas {
    /** Time in which the client of a dead router may reconnect to another one. */
    static final long CLIENT_RECONNECT_TIMEOUT_MILLIS = 30_000;

    private final MembershipView membership;
    private final TargetDirectory targets;
    private final LedgerClient ledger;
    private final Map<String, Replica> replicas = new LinkedHashMap<>();

    CheckpointReplicas(MembershipView membership, TargetDirectory targets, LedgerClient ledger) {
        this.membership = membership;
        this.targets = targets;
        this.ledger = ledger;
    }

    Optional<Checkpoint> find(String ledgerKey) {
        return Optional.ofNullable(replicas.get(ledgerKey))
                .filter(entry -> entry.completedResponse.isEmpty())
                .map(Replica::checkpoint);
    }

    void remove(String ledgerKey) {
        replicas.remove(ledgerKey);
    }

    /** Stores a complete checkpoint; if its sender has been superseded as owner, notifies the sender instead. */
    void save(Checkpoint checkpoint, List<Command> out) {
        String ledgerKey = checkpoint.spec().ledgerKey();
        Replica existing = replicas.get(ledgerKey);
        if (existing != null && existing.formerOwners.contains(checkpoint.owner())) {
            notifySuperseded(checkpoint.owner(), ledgerKey, out);
            return;
        }
        Replica entry = new Replica(checkpoint, membership.member(checkpoint.owner()));
        if (existing != null) {
            entry.formerOwners.addAll(existing.formerOwners);
            if (!existing.latest.owner().equals(checkpoint.owner())) {
                entry.formerOwners.add(existing.latest.owner());
            }
            entry.ownerMember = entry.ownerMember.or(() -> existing.ownerMember);
        }
        replicas.put(ledgerKey, entry);
    }

    void append(HostId from, PeerMessage.CheckpointAppend delta, List<Command> out) {
        Replica entry = replicas.get(delta.ledgerKey());
        if (entry == null) {
            return;
        }
        if (!entry.latest.owner().equals(from)) {
            notifySuperseded(from, delta.ledgerKey(), out);
            return;
        }
        int overlap = entry.tokens.size() - delta.firstIndex();
        if (overlap < 0) {
            // Tokens before those of the delta are missing, so it cannot be appended.
            return;
        }
        if (overlap < delta.tokens().size()) {
            entry.tokens.addAll(delta.tokens().subList(overlap, delta.tokens().size()));
        }
        entry.updateAttempt(delta);
    }

    void drop(HostId from, String ledgerKey, RequestId request) {
        Replica entry = replicas.get(ledgerKey);
        if (entry != null && entry.latest.spec().id().equals(request) && !entry.formerOwners.contains(from)) {
            replicas.remove(ledgerKey);
        }
    }

    /**
     * Marks the request of a checkpoint as completed and returns its whole response, if all tokens are known.
     *
     * <p>The checkpoint itself stays until the owner drops it or dies.
     */
    Optional<CompletedResponse> complete(HostId from, PeerMessage.CompletedResponseSave save) {
        CompletedResponse remainder = save.response();
        Replica entry = replicas.get(remainder.record().ledgerKey());
        List<String> tokens = new ArrayList<>();
        if (entry != null) {
            boolean sameRequest =
                    entry.latest.spec().id().equals(remainder.record().request());
            if (!sameRequest || entry.formerOwners.contains(from)) {
                return Optional.empty();
            }
            tokens.addAll(entry.tokens.subList(0, Math.min(save.firstIndex(), entry.tokens.size())));
        }
        if (tokens.size() < save.firstIndex()) {
            return Optional.empty();
        }
        tokens.addAll(remainder.tokens());
        Optional<CompletedResponse> response = Optional.of(new CompletedResponse(
                remainder.record(), remainder.connection(), remainder.fingerprint(), remainder.reason(), tokens));
        if (entry != null) {
            entry.completedResponse = response;
        }
        return response;
    }

    /** Makes a former owner stop serving a request by asking it to hand the request over. */
    private void notifySuperseded(HostId owner, String ledgerKey, List<Command> out) {
        // No search has the number 0, so the owner's reply is ignored.
        membership
                .member(owner)
                .ifPresent(member -> out.add(new Command.SendPeer(
                        member.host(), member.address(), new PeerMessage.HandoverRequest(0, ledgerKey))));
    }

    void tick(long now, List<Command> out) {
        for (Replica entry : List.copyOf(replicas.values())) {
            if (!membership.isDead(entry.latest.owner())) {
                entry.ownerDeadSince = -1;
                continue;
            }
            if (entry.ownerDeadSince < 0) {
                entry.ownerDeadSince = now;
            }
            if (entry.completedResponse.isPresent()) {
                // The owner may have died before its record was durable; the ledger keeps the first of two equal ones.
                replicas.remove(entry.latest.spec().ledgerKey());
                OutcomeRecord record = entry.completedResponse.get().record();
                out.addAll(ledger.submitOutcome(new FinalOutcome(record, Optional.empty()), now));
                continue;
            }
            if (!forwardToBackup(entry, out) && now - entry.ownerDeadSince >= CLIENT_RECONNECT_TIMEOUT_MILLIS) {
                replicas.remove(entry.latest.spec().ledgerKey());
                abandon(entry.checkpoint(), now, out);
            }
        }
    }

    /** Sends the checkpoint to the current backup router of its owner, so that only one router closes the request. */
    private boolean forwardToBackup(Replica entry, List<Command> out) {
        String ledgerKey = entry.latest.spec().ledgerKey();
        Optional<RouterMember> backup =
                entry.ownerMember.flatMap(owner -> BackupRouterSelector.select(membership, ledgerKey, owner));
        HostId self = membership.self().host();
        if (backup.isEmpty() || backup.get().host().equals(self)) {
            return false;
        }
        replicas.remove(ledgerKey);
        out.add(new Command.SendPeer(
                backup.get().host(), backup.get().address(), new PeerMessage.CheckpointSave(entry.checkpoint())));
        return true;
    }

    private void abandon(Checkpoint checkpoint, long now, List<Command> out) {
        RequestSpec spec = checkpoint.spec();
        if (spec.work() instanceof Work.Generation) {
            checkpoint
                    .target()
                    .flatMap(targets::target)
                    .ifPresent(target -> out.add(new RequestCommand.CancelAttempt(
                            checkpoint.attempt().orElseThrow(), target)));
        }
        // The owner may have dispatched after its last message, so the absence of an attempt proves nothing.
        ExecutionStatus executionStatus = checkpoint.tokens().isEmpty() ? ExecutionStatus.UNKNOWN : ExecutionStatus.RAN;
        OutcomeRecord record = new OutcomeRecord(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile().name(),
                spec.ledgerKey(),
                Outcome.ABANDONED,
                executionStatus,
                "",
                0,
                membership.self().host(),
                checkpoint.target().stream().toList(),
                checkpoint.attempt().isPresent() ? 1 : 0,
                checkpoint.tokens().size(),
                0,
                spec.arrivedAtMillis(),
                now);
        out.add(RequestTrace.abandonedByBackup(spec.id(), checkpoint.owner(), executionStatus));
        out.addAll(ledger.submitOutcome(new FinalOutcome(record, Optional.empty()), now));
    }

    private static final class Replica {
        private final List<String> tokens;
        private final Set<HostId> formerOwners = new HashSet<>();
        /** Latest state of the request, except for its tokens, which {@link #tokens} contains. */
        private Checkpoint latest;

        private Optional<RouterMember> ownerMember;
        private long ownerDeadSince = -1;
        private Optional<CompletedResponse> completedResponse = Optional.empty();

        Replica(Checkpoint checkpoint, Optional<RouterMember> ownerMember) {
            this.tokens = new ArrayList<>(checkpoint.tokens());
            this.latest = checkpoint;
            this.ownerMember = ownerMember;
        }

        void updateAttempt(PeerMessage.CheckpointAppend delta) {
            latest = new Checkpoint(
                    latest.spec(),
                    latest.owner(),
                    Optional.of(delta.attempt()),
                    Optional.of(delta.target()),
                    latest.version(),
                    List.of());
        }

        Checkpoint checkpoint() {
            return new Checkpoint(
                    latest.spec(), latest.owner(), latest.attempt(), latest.target(), latest.version(), tokens);
        }
    }
}
