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

/**
 * Default {@link LedgerClient}, which resends a claim to the current partition owner until it is decided, and an
 * outcome until it is durable.
 */
public final class DefaultLedgerClient implements LedgerClient {
    /** Number of pending outcomes at which a router must not admit new requests. */
    public static final int MAX_PENDING_OUTCOMES = 50_000;

    private static final long CLAIM_RESEND_MILLIS = 200;
    private static final long CLAIM_TIMEOUT_MILLIS = 1_500;
    /** A {@link NotOwner} names the owner in another router's view; this router's view should agree soon after. */
    private static final long KNOWN_OWNER_MILLIS = 1_000;
    /** Far longer than any grant can be in flight. */
    private static final long ABANDONED_RETENTION_MILLIS = 600_000;

    private static final int MAX_ABANDONED_CLAIMS = 10_000;

    private final MembershipView membership;
    private final LedgerMessenger messenger;
    private final OperationNumberGenerator operationNumbers;
    private final Map<RequestId, OutstandingClaim> outstandingClaims = new LinkedHashMap<>();
    private final Map<RequestId, AbandonedClaim> abandonedClaims = new LinkedHashMap<>();
    private final Map<Integer, OutcomeOutbox> outboxes = new TreeMap<>();
    private final Map<Integer, KnownOwner> knownOwners = new TreeMap<>();
    private final OutcomeLookups lookups;
    private long currentMillis;

    /**
     * Creates a ledger client.
     *
     * @param membership the routers, which include the owners of the partitions
     * @param operationNumbers generator of batch and query numbers
     */
    public DefaultLedgerClient(MembershipView membership, OperationNumberGenerator operationNumbers) {
        this.membership = Objects.requireNonNull(membership, "membership");
        this.messenger = new LedgerMessenger(membership);
        this.operationNumbers = Objects.requireNonNull(operationNumbers, "operationNumbers");
        this.lookups = new OutcomeLookups(operationNumbers, this::sendToOwner);
    }

    @Override
    public List<Command> requestClaim(RequestSpec spec, long nowMillis) {
        currentMillis = nowMillis;
        List<Command> commands = new ArrayList<>();
        OutstandingClaim claim = new OutstandingClaim(spec, LedgerPartitions.ofKey(spec.ledgerKey()), nowMillis);
        if (outstandingClaims.putIfAbsent(spec.id(), claim) == null) {
            sendClaim(claim, nowMillis, commands);
        }
        return commands;
    }

    @Override
    public List<Command> submitOutcome(FinalOutcome outcome, long nowMillis) {
        currentMillis = nowMillis;
        List<Command> commands = new ArrayList<>();
        int partition = LedgerPartitions.ofRequest(outcome.record().request());
        OutcomeOutbox outbox = outboxes.computeIfAbsent(partition, key -> new OutcomeOutbox(key, operationNumbers));
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
        currentMillis = nowMillis;
        List<Command> commands = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> tick(nowMillis, commands);
            case Event.PeerReceived received -> handleMessage(received.message(), nowMillis, commands);
            case OperatorEvent.ShowOutcome show -> lookups.start(show, nowMillis, commands);
            default -> {}
        }
        return commands;
    }

    private void tick(long nowMillis, List<Command> commands) {
        for (OutstandingClaim claim : List.copyOf(outstandingClaims.values())) {
            if (nowMillis - claim.startedMillis >= CLAIM_TIMEOUT_MILLIS) {
                completeClaim(
                        claim,
                        new ClaimResult.Unavailable("the ledger did not respond in time", false),
                        nowMillis,
                        commands);
            } else if (nowMillis >= claim.nextSendMillis) {
                sendClaim(claim, nowMillis, commands);
            }
        }
        outboxes.forEach(
                (partition, outbox) -> outbox.sendDue(nowMillis, message -> sendToOwner(partition, message, commands)));
        lookups.tick(nowMillis, commands);
        abandonedClaims.values().removeIf(claim -> nowMillis - claim.abandonedAtMillis() > ABANDONED_RETENTION_MILLIS);
    }

    private void handleMessage(PeerMessage message, long nowMillis, List<Command> commands) {
        switch (message) {
            case ClaimReply reply -> onClaimReply(reply, nowMillis, commands);
            case OutcomeAck ack -> onOutcomeAck(ack, nowMillis, commands);
            case NotOwner notOwner -> onNotOwner(notOwner, nowMillis);
            case OutcomeReply reply -> lookups.onReply(reply, commands);
            default -> {}
        }
    }

    private void onClaimReply(ClaimReply reply, long nowMillis, List<Command> commands) {
        OutstandingClaim claim = outstandingClaims.get(reply.request());
        if (claim != null) {
            completeClaim(claim, reply.result(), nowMillis, commands);
        } else if (reply.result() instanceof ClaimResult.Granted) {
            AbandonedClaim late = abandonedClaims.get(reply.request());
            if (late != null) {
                commands.addAll(submitOutcome(notRunOutcome(late.spec(), nowMillis), nowMillis));
            }
        }
    }

    private void completeClaim(OutstandingClaim claim, ClaimResult result, long nowMillis, List<Command> commands) {
        RequestId request = claim.spec.id();
        outstandingClaims.remove(request);
        if (!(result instanceof ClaimResult.Granted)) {
            abandonedClaims.put(request, new AbandonedClaim(claim.spec, nowMillis));
            if (abandonedClaims.size() > MAX_ABANDONED_CLAIMS) {
                abandonedClaims.remove(abandonedClaims.keySet().iterator().next());
            }
        }
        commands.add(new Command.Raise(new RequestEvent.ClaimDecided(request, result)));
    }

    /** Returns the outcome that closes a grant under which no router dispatches the request. */
    private FinalOutcome notRunOutcome(RequestSpec spec, long nowMillis) {
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
                messenger.self(),
                List.of(),
                0,
                0,
                0,
                spec.arrivedAtMillis(),
                nowMillis);
        return new FinalOutcome(record, Optional.empty());
    }

    private void onOutcomeAck(OutcomeAck ack, long nowMillis, List<Command> commands) {
        OutcomeOutbox outbox = outboxes.get(ack.partition());
        if (outbox != null) {
            for (RequestId request : outbox.acknowledge(ack.batch())) {
                commands.add(new Command.Raise(new RequestEvent.OutcomeDurable(request)));
            }
            outbox.sendDue(nowMillis, message -> sendToOwner(ack.partition(), message, commands));
        }
    }

    /** Lets the next tick resend a partition's pending claims, outcomes and lookups to the owner that was named. */
    private void onNotOwner(NotOwner notOwner, long nowMillis) {
        notOwner.owner()
                .ifPresent(owner ->
                        knownOwners.put(notOwner.partition(), new KnownOwner(owner, nowMillis + KNOWN_OWNER_MILLIS)));
        for (OutstandingClaim claim : outstandingClaims.values()) {
            if (claim.partition == notOwner.partition()) {
                claim.nextSendMillis = Math.min(claim.nextSendMillis, nowMillis + 1);
            }
        }
        OutcomeOutbox outbox = outboxes.get(notOwner.partition());
        if (outbox != null) {
            outbox.retryAt(nowMillis + 1);
        }
        lookups.retryAt(notOwner.partition(), nowMillis + 1);
    }

    private void sendClaim(OutstandingClaim claim, long nowMillis, List<Command> commands) {
        claim.nextSendMillis = nowMillis + CLAIM_RESEND_MILLIS;
        RequestSpec spec = claim.spec;
        ClaimRequest request = new ClaimRequest(claim.partition, spec.id(), spec.ledgerKey(), spec.fingerprint());
        sendToOwner(claim.partition, request, commands);
    }

    /** Sends to the owner that a recent {@link NotOwner} named, else to the preferred owner in this router's view. */
    private void sendToOwner(int partition, PeerMessage message, List<Command> commands) {
        KnownOwner known = knownOwners.get(partition);
        boolean usable = known != null && currentMillis < known.expiresAtMillis() && !membership.isDead(known.host());
        messenger.send(usable ? known.host() : messenger.preferredOwner(partition), message, commands);
    }

    private static final class OutstandingClaim {
        private final RequestSpec spec;
        private final int partition;
        private final long startedMillis;
        private long nextSendMillis;

        private OutstandingClaim(RequestSpec spec, int partition, long startedMillis) {
            this.spec = spec;
            this.partition = partition;
            this.startedMillis = startedMillis;
        }
    }

    private record KnownOwner(HostId host, long expiresAtMillis) {}

    private record AbandonedClaim(RequestSpec spec, long abandonedAtMillis) {}
}
