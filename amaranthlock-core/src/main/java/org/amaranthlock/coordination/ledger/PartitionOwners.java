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

/** The ledger partitions that this router owns, or takes over when work for them arrives. */
public final class PartitionOwners implements CoreComponent {
    private final LedgerMessenger peers;
    private final OperationNumberGenerator numbers;
    private final RecentOutcomes recent = new RecentOutcomes();
    private final Map<Integer, PartitionOwner> owners = new TreeMap<>();
    private final Set<Integer> preferredBefore = new TreeSet<>();
    private int checked;

    /**
     * Creates the owner side of the ledger.
     *
     * @param membership the routers, of which the first live one in rendezvous order should own a partition
     * @param numbers source of operation numbers
     */
    public PartitionOwners(MembershipView membership, OperationNumberGenerator numbers) {
        this.peers = new LedgerMessenger(Objects.requireNonNull(membership, "membership"));
        this.numbers = Objects.requireNonNull(numbers, "numbers");
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> commands = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> {
                owners.values().forEach(owner -> owner.tick(nowMillis, commands));
                owners.values().removeIf(owner -> owner.isIdle(nowMillis));
                takeOverNext(nowMillis, commands);
            }
            case Event.PeerReceived received -> receive(received.from(), received.message(), nowMillis, commands);
            case ObjectApiEvent answer -> owners.values().forEach(owner -> owner.handle(answer, nowMillis, commands));
            default -> {}
        }
        return commands;
    }

    /**
     * Takes over partitions that this router should own, also without work for them, so that their claims are known
     * when the platform fails.
     *
     * <p>One partition is looked at per tick, and taken over when this router should have owned it a round of about 3 s
     * before too. A router that has just started, and still believes to be alone, therefore takes none.
     */
    private void takeOverNext(long nowMillis, List<Command> commands) {
        int partition = checked;
        checked = (checked + 1) % LedgerPartitions.COUNT;
        if (!peers.preferredOwner(partition).equals(peers.self())) {
            preferredBefore.remove(partition);
        } else if (!preferredBefore.add(partition)) {
            owner(partition).takeOwnership(nowMillis, commands);
        }
    }

    private void receive(HostId from, PeerMessage message, long nowMillis, List<Command> commands) {
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
        return owners.computeIfAbsent(partition, key -> new PartitionOwner(key, peers, numbers, recent));
    }
}
