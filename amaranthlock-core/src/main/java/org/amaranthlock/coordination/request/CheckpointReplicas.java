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

/** The keeper's side: checkpoints of other routers' requests, and the closing of those whose owner died. */
final class CheckpointReplicas {
    /** Time for the caller of a dead router to return. */
    static final long CLIENT_RETURN_MILLIS = 30_000;

    private final MembershipView membership;
    private final TargetDirectory targets;
    private final LedgerClient ledger;
    private final Map<String, Replica> kept = new LinkedHashMap<>();

    CheckpointReplicas(MembershipView membership, TargetDirectory targets, LedgerClient ledger) {
        this.membership = membership;
        this.targets = targets;
        this.ledger = ledger;
    }

    Optional<Checkpoint> find(String ledgerKey) {
        return Optional.ofNullable(kept.get(ledgerKey))
                .filter(entry -> entry.complete.isEmpty())
                .map(Replica::checkpoint);
    }

    void remove(String ledgerKey) {
        kept.remove(ledgerKey);
    }

    /** Stores a whole checkpoint; a former owner that was superseded is told so instead. */
    void save(Checkpoint checkpoint, List<Command> out) {
        String ledgerKey = checkpoint.spec().ledgerKey();
        Replica present = kept.get(ledgerKey);
        if (present != null && present.formerOwners.contains(checkpoint.owner())) {
            tellSuperseded(checkpoint.owner(), ledgerKey, out);
            return;
        }
        Replica entry = new Replica(checkpoint, membership.member(checkpoint.owner()));
        if (present != null) {
            entry.formerOwners.addAll(present.formerOwners);
            if (!present.base.owner().equals(checkpoint.owner())) {
                entry.formerOwners.add(present.base.owner());
            }
            entry.owner = entry.owner.or(() -> present.owner);
        }
        kept.put(ledgerKey, entry);
    }

    void append(HostId from, PeerMessage.CheckpointAppend delta, List<Command> out) {
        Replica entry = kept.get(delta.ledgerKey());
        if (entry == null) {
            return;
        }
        if (!entry.base.owner().equals(from)) {
            tellSuperseded(from, delta.ledgerKey(), out);
            return;
        }
        int known = entry.tokens.size() - delta.firstIndex();
        if (known < 0) {
            return;
        }
        if (known < delta.tokens().size()) {
            entry.tokens.addAll(delta.tokens().subList(known, delta.tokens().size()));
        }
        entry.advance(delta);
    }

    void drop(HostId from, String ledgerKey, RequestId request) {
        Replica entry = kept.get(ledgerKey);
        if (entry != null && entry.base.spec().id().equals(request) && !entry.formerOwners.contains(from)) {
            kept.remove(ledgerKey);
        }
    }

    /** Marks a checkpoint as complete and returns the whole answer if it is known; the owner's drop follows. */
    Optional<CompletedResponse> complete(HostId from, PeerMessage.CompletedResponseSave save) {
        CompletedResponse end = save.response();
        Replica entry = kept.get(end.record().ledgerKey());
        List<String> tokens = new ArrayList<>();
        if (entry != null) {
            boolean same = entry.base.spec().id().equals(end.record().request());
            if (!same || entry.formerOwners.contains(from)) {
                return Optional.empty();
            }
            tokens.addAll(entry.tokens.subList(0, Math.min(save.firstIndex(), entry.tokens.size())));
        }
        if (tokens.size() < save.firstIndex()) {
            return Optional.empty();
        }
        tokens.addAll(end.tokens());
        Optional<CompletedResponse> answer = Optional.of(
                new CompletedResponse(end.record(), end.connection(), end.fingerprint(), end.reason(), tokens));
        if (entry != null) {
            entry.complete = answer;
        }
        return answer;
    }

    private void tellSuperseded(HostId owner, String ledgerKey, List<Command> out) {
        membership
                .member(owner)
                .ifPresent(member -> out.add(new Command.SendPeer(
                        member.host(), member.address(), new PeerMessage.HandoverRequest(0, ledgerKey))));
    }

    void tick(long now, List<Command> out) {
        for (Replica entry : List.copyOf(kept.values())) {
            if (!membership.isDead(entry.base.owner())) {
                entry.deadSince = -1;
                continue;
            }
            if (entry.deadSince < 0) {
                entry.deadSince = now;
            }
            if (entry.complete.isPresent()) {
                // The owner may have died before its record lasted; the ledger takes the first of two equal ones.
                kept.remove(entry.base.spec().ledgerKey());
                OutcomeRecord record = entry.complete.get().record();
                out.addAll(ledger.submitOutcome(new FinalOutcome(record, Optional.empty()), now));
                continue;
            }
            if (!passOn(entry, out) && now - entry.deadSince >= CLIENT_RETURN_MILLIS) {
                kept.remove(entry.base.spec().ledgerKey());
                abandon(entry.checkpoint(), now, out);
            }
        }
    }

    /** Gives the checkpoint to its rightful keeper, so that one router alone closes the request. */
    private boolean passOn(Replica entry, List<Command> out) {
        String ledgerKey = entry.base.spec().ledgerKey();
        Optional<RouterMember> rightful =
                entry.owner.flatMap(owner -> BackupRouterSelector.select(membership, ledgerKey, owner));
        HostId self = membership.self().host();
        if (rightful.isEmpty() || rightful.get().host().equals(self)) {
            return false;
        }
        kept.remove(ledgerKey);
        out.add(new Command.SendPeer(
                rightful.get().host(), rightful.get().address(), new PeerMessage.CheckpointSave(entry.checkpoint())));
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
        ExecutionStatus fate = checkpoint.tokens().isEmpty() ? ExecutionStatus.UNKNOWN : ExecutionStatus.RAN;
        OutcomeRecord record = new OutcomeRecord(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile().name(),
                spec.ledgerKey(),
                Outcome.ABANDONED,
                fate,
                "",
                0,
                membership.self().host(),
                checkpoint.target().stream().toList(),
                checkpoint.attempt().isPresent() ? 1 : 0,
                checkpoint.tokens().size(),
                0,
                spec.arrivedAtMillis(),
                now);
        out.add(RequestTrace.abandonedByBackup(spec.id(), checkpoint.owner(), fate));
        out.addAll(ledger.submitOutcome(new FinalOutcome(record, Optional.empty()), now));
    }

    private static final class Replica {
        private final List<String> tokens;
        private final Set<HostId> formerOwners = new HashSet<>();
        private Checkpoint base;
        private Optional<RouterMember> owner;
        private long deadSince = -1;
        private Optional<CompletedResponse> complete = Optional.empty();

        Replica(Checkpoint base, Optional<RouterMember> owner) {
            this.tokens = new ArrayList<>(base.tokens());
            this.base = base;
            this.owner = owner;
        }

        void advance(PeerMessage.CheckpointAppend delta) {
            base = new Checkpoint(
                    base.spec(),
                    base.owner(),
                    Optional.of(delta.attempt()),
                    Optional.of(delta.target()),
                    base.version(),
                    List.of());
        }

        Checkpoint checkpoint() {
            return new Checkpoint(base.spec(), base.owner(), base.attempt(), base.target(), base.version(), tokens);
        }
    }
}
