package org.amaranthlock.coordination.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.protocol.peer.PeerMessage.ClaimReply;
import org.amaranthlock.protocol.peer.PeerMessage.ClaimRequest;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;
import org.amaranthlock.protocol.peer.PeerMessage.NotOwner;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeAck;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeReply;

/** Client side of the ledger: repeats claims and outcomes to the present owner until they are settled. */
public final class DefaultLedgerClient implements LedgerClient {
    /** With this many outcomes waiting a router must admit no new request. */
    public static final int MAX_PENDING_OUTCOMES = 50_000;

    private static final long CLAIM_RESEND_MILLIS = 200;
    private static final long CLAIM_TIMEOUT_MILLIS = 1_500;
    /** A refusal names the owner in another router's view; soon after, this router's view should agree. */
    private static final long NAMED_OWNER_MILLIS = 1_000;
    /** Far longer than any grant can be under way. */
    private static final long ABANDONED_RETENTION_MILLIS = 600_000;

    private static final int MAX_ABANDONED = 10_000;

    private final MembershipView membership;
    private final LedgerMessenger peers;
    private final OperationNumberGenerator numbers;
    private final Map<RequestId, PendingClaim> claims = new LinkedHashMap<>();
    private final Map<RequestId, AbandonedClaim> abandoned = new LinkedHashMap<>();
    private final Map<Integer, OutcomeOutbox> outboxes = new TreeMap<>();
    private final Map<Integer, KnownOwner> namedOwners = new TreeMap<>();
    private final OutcomeLookups lookups;
    private long presentMillis;

    /**
     * Creates a client.
     *
     * @param membership the routers, among which the owners of partitions are found
     * @param numbers source of batch and query numbers
     */
    public DefaultLedgerClient(MembershipView membership, OperationNumberGenerator numbers) {
        this.membership = Objects.requireNonNull(membership, "membership");
        this.peers = new LedgerMessenger(membership);
        this.numbers = Objects.requireNonNull(numbers, "numbers");
        this.lookups = new OutcomeLookups(numbers, this::sendToOwner);
    }

    @Override
    public List<Command> requestClaim(RequestSpec spec, long nowMillis) {
        presentMillis = nowMillis;
        List<Command> commands = new ArrayList<>();
        PendingClaim claim = new PendingClaim(spec, LedgerPartitions.ofKey(spec.ledgerKey()), nowMillis);
        if (claims.putIfAbsent(spec.id(), claim) == null) {
            send(claim, nowMillis, commands);
        }
        return commands;
    }

    @Override
    public List<Command> submitOutcome(FinalOutcome outcome, long nowMillis) {
        presentMillis = nowMillis;
        List<Command> commands = new ArrayList<>();
        int partition = LedgerPartitions.ofRequest(outcome.record().request());
        OutcomeOutbox outbox = outboxes.computeIfAbsent(partition, key -> new OutcomeOutbox(key, numbers));
        outbox.add(outcome);
        outbox.sendDue(nowMillis, message -> sendToOwner(partition, message, commands));
        return commands;
    }

    @Override
    public int pendingOutcomeCount() {
        return outboxes.values().stream().mapToInt(OutcomeOutbox::pendingCount).sum();
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        presentMillis = nowMillis;
        List<Command> commands = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> tick(nowMillis, commands);
            case Event.PeerReceived received -> receive(received.message(), nowMillis, commands);
            case OperatorEvent.ShowOutcome show -> lookups.start(show, nowMillis, commands);
            default -> {}
        }
        return commands;
    }

    private void tick(long nowMillis, List<Command> commands) {
        for (PendingClaim claim : List.copyOf(claims.values())) {
            if (nowMillis - claim.startedMillis >= CLAIM_TIMEOUT_MILLIS) {
                decide(
                        claim,
                        new ClaimResult.Unavailable("the ledger did not answer in time", false),
                        nowMillis,
                        commands);
            } else if (nowMillis >= claim.nextSendMillis) {
                send(claim, nowMillis, commands);
            }
        }
        outboxes.forEach(
                (partition, outbox) -> outbox.sendDue(nowMillis, message -> sendToOwner(partition, message, commands)));
        lookups.tick(nowMillis, commands);
        abandoned.values().removeIf(claim -> nowMillis - claim.sinceMillis() > ABANDONED_RETENTION_MILLIS);
    }

    private void receive(PeerMessage message, long nowMillis, List<Command> commands) {
        switch (message) {
            case ClaimReply reply -> claimReplied(reply, nowMillis, commands);
            case OutcomeAck ack -> acknowledged(ack, nowMillis, commands);
            case NotOwner refusal -> redirect(refusal, nowMillis);
            case OutcomeReply answer -> lookups.onAnswer(answer, commands);
            default -> {}
        }
    }

    private void claimReplied(ClaimReply reply, long nowMillis, List<Command> commands) {
        PendingClaim claim = claims.get(reply.request());
        if (claim != null) {
            decide(claim, reply.result(), nowMillis, commands);
        } else if (reply.result() instanceof ClaimResult.Granted) {
            AbandonedClaim late = abandoned.get(reply.request());
            if (late != null) {
                commands.addAll(submitOutcome(notRun(late.spec(), nowMillis), nowMillis));
            }
        }
    }

    private void decide(PendingClaim claim, ClaimResult verdict, long nowMillis, List<Command> commands) {
        RequestId request = claim.spec.id();
        claims.remove(request);
        if (!(verdict instanceof ClaimResult.Granted)) {
            abandoned.put(request, new AbandonedClaim(claim.spec, nowMillis));
            if (abandoned.size() > MAX_ABANDONED) {
                abandoned.remove(abandoned.keySet().iterator().next());
            }
        }
        commands.add(new Command.Raise(new RequestEvent.ClaimDecided(request, verdict)));
    }

    /** Returns the outcome that closes a grant under which nobody dispatches. */
    private FinalOutcome notRun(RequestSpec spec, long nowMillis) {
        OutcomeRecord record = new OutcomeRecord(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile().name(),
                spec.ledgerKey(),
                Outcome.REFUSED,
                ExecutionStatus.NOT_RUN,
                ErrorCode.PLATFORM_UNAVAILABLE.code(),
                ErrorCode.PLATFORM_UNAVAILABLE.status(),
                peers.self(),
                List.of(),
                0,
                0,
                0,
                spec.arrivedAtMillis(),
                nowMillis);
        return new FinalOutcome(record, Optional.empty());
    }

    private void acknowledged(OutcomeAck ack, long nowMillis, List<Command> commands) {
        OutcomeOutbox outbox = outboxes.get(ack.partition());
        if (outbox != null) {
            for (RequestId request : outbox.acknowledge(ack.batch())) {
                commands.add(new Command.Raise(new RequestEvent.OutcomeDurable(request)));
            }
            outbox.sendDue(nowMillis, message -> sendToOwner(ack.partition(), message, commands));
        }
    }

    /** Lets the next tick repeat what waits for a partition to the owner that was named. */
    private void redirect(NotOwner refusal, long nowMillis) {
        refusal.owner()
                .ifPresent(owner ->
                        namedOwners.put(refusal.partition(), new KnownOwner(owner, nowMillis + NAMED_OWNER_MILLIS)));
        for (PendingClaim claim : claims.values()) {
            if (claim.partition == refusal.partition()) {
                claim.nextSendMillis = Math.min(claim.nextSendMillis, nowMillis + 1);
            }
        }
        OutcomeOutbox outbox = outboxes.get(refusal.partition());
        if (outbox != null) {
            outbox.retryAt(nowMillis + 1);
        }
        lookups.retryAt(refusal.partition(), nowMillis + 1);
    }

    private void send(PendingClaim claim, long nowMillis, List<Command> commands) {
        claim.nextSendMillis = nowMillis + CLAIM_RESEND_MILLIS;
        RequestSpec spec = claim.spec;
        ClaimRequest request = new ClaimRequest(claim.partition, spec.id(), spec.ledgerKey(), spec.fingerprint());
        sendToOwner(claim.partition, request, commands);
    }

    /** Sends to the owner that a refusal named lately, else to the first router in this router's view. */
    private void sendToOwner(int partition, PeerMessage message, List<Command> commands) {
        KnownOwner named = namedOwners.get(partition);
        boolean usable = named != null && presentMillis < named.untilMillis() && !membership.isDead(named.host());
        peers.send(usable ? named.host() : peers.preferredOwner(partition), message, commands);
    }

    private static final class PendingClaim {
        private final RequestSpec spec;
        private final int partition;
        private final long startedMillis;
        private long nextSendMillis;

        private PendingClaim(RequestSpec spec, int partition, long startedMillis) {
            this.spec = spec;
            this.partition = partition;
            this.startedMillis = startedMillis;
        }
    }

    private record KnownOwner(HostId host, long untilMillis) {}

    private record AbandonedClaim(RequestSpec spec, long sinceMillis) {}
}
