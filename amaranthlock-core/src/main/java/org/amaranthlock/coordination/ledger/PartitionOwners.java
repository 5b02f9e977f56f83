package org.amaranthlock.coordination.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.protocol.peer.PeerMessage.ClaimRequest;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeBatch;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeQuery;

/** Owner side of the ledger: the partitions that this router owns or takes over when work for them arrives. */
public final class PartitionOwners implements CoreComponent {
    private final LedgerMessenger messenger;
    private final OperationNumberGenerator operationNumbers;
    private final RecentOutcomes recentOutcomes = new RecentOutcomes();
    private final Map<Integer, PartitionOwner> owners = new TreeMap<>();
    private final Set<Integer> preferredInLastRound = new TreeSet<>();
    private int nextToCheck;

    /**
     * Creates the owner side of the ledger.
     *
     * @param membership the routers; the first live one in rendezvous order is the preferred owner of a partition
     * @param operationNumbers generator of operation numbers
     */
    public PartitionOwners(MembershipView membership, OperationNumberGenerator operationNumbers) {
        this.messenger = new LedgerMessenger(Objects.requireNonNull(membership, "membership"));
        this.operationNumbers = Objects.requireNonNull(operationNumbers, "operationNumbers");
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> commands = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> {
                owners.values().forEach(owner -> owner.tick(nowMillis, commands));
                owners.values().removeIf(owner -> owner.isIdle(nowMillis));
                checkNextPartition(nowMillis, commands);
            }
            case Event.PeerReceived received -> handleMessage(received.from(), received.message(), nowMillis, commands);
            case ObjectApiEvent response ->
                owners.values().forEach(owner -> owner.handle(response, nowMillis, commands));
            default -> {}
        }
        return commands;
    }

    /**
     * Takes over partitions of which this router is the preferred owner, even without work for them, so that their
     * claims are known when the platform fails.
     *
     * <p>Each tick checks one partition. It is taken over only if this router was also its preferred owner in the
     * previous round, about 3 s earlier. A router that has just started and does not know any other router yet
     * therefore takes none over.
     */
    private void checkNextPartition(long nowMillis, List<Command> commands) {
        int partition = nextToCheck;
        nextToCheck = (nextToCheck + 1) % LedgerPartitions.COUNT;
        if (!messenger.preferredOwner(partition).equals(messenger.self())) {
            preferredInLastRound.remove(partition);
        } else if (!preferredInLastRound.add(partition)) {
            owner(partition).takeOwnership(nowMillis, commands);
        }
    }

    private void handleMessage(HostId from, PeerMessage message, long nowMillis, List<Command> commands) {
        switch (message) {
            case ClaimRequest claim -> owner(claim.partition()).handleClaim(from, claim, nowMillis, commands);
            case OutcomeBatch batch -> owner(batch.partition()).handleOutcomes(from, batch, nowMillis, commands);
            case OutcomeQuery query ->
                owner(LedgerPartitions.ofRequest(query.request())).handleQuery(from, query, nowMillis, commands);
            default -> {}
        }
    }

    private PartitionOwner owner(int partition) {
        Objects.checkIndex(partition, LedgerPartitions.COUNT);
        return owners.computeIfAbsent(
                partition, key -> new PartitionOwner(key, messenger, operationNumbers, recentOutcomes));
    }
}
