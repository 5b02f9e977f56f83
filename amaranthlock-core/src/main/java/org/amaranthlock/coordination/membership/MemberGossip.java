package org.amaranthlock.coordination.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.MemberUpdate;
import org.amaranthlock.protocol.peer.PeerMessage.GossipPayload;
import org.amaranthlock.protocol.peer.PoisonMark;
import org.amaranthlock.protocol.peer.RouterState;
import org.amaranthlock.protocol.peer.TargetUpdate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Composes the gossip that a router adds to its messages: pending changes of members, some random members, and updates
 * of the other topics. Not thread-safe.
 */
final class MemberGossip {
    private static final int UPDATES_PER_MESSAGE = 8;

    /** Members sent at random when few updates are pending; costs about 0.5 KB/s per router. */
    private static final int RANDOM_MEMBERS_PER_MESSAGE = 2;

    private static final int MEMBERS_PER_LIST_MESSAGE = 64;

    private final MemberTable table;
    private final Supplier<MemberUpdate> selfUpdate;
    private final GossipTopic<TargetUpdate> targetTopic;
    private final GossipTopic<PoisonMark> poisonTopic;
    private final LongSupplier configurationRevision;
    private final UniformRandomProvider random;
    private final GossipQueue<HostId, MemberUpdate> updates = new GossipQueue<>();

    /**
     * Creates gossip without pending changes.
     *
     * @param table the other members
     * @param selfUpdate supplies the state of this router
     * @param targetTopic gossip about draining targets
     * @param poisonTopic gossip about poison marks
     * @param configurationRevision supplies the highest configuration revision that this router holds
     * @param random source of randomness
     */
    MemberGossip(
            MemberTable table,
            Supplier<MemberUpdate> selfUpdate,
            GossipTopic<TargetUpdate> targetTopic,
            GossipTopic<PoisonMark> poisonTopic,
            LongSupplier configurationRevision,
            UniformRandomProvider random) {
        this.table = Objects.requireNonNull(table, "table");
        this.selfUpdate = Objects.requireNonNull(selfUpdate, "selfUpdate");
        this.targetTopic = Objects.requireNonNull(targetTopic, "targetTopic");
        this.poisonTopic = Objects.requireNonNull(poisonTopic, "poisonTopic");
        this.configurationRevision = Objects.requireNonNull(configurationRevision, "configurationRevision");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Adds a change of a member, which the next messages spread. */
    void add(MemberUpdate update) {
        updates.add(update.host(), update);
    }

    /** Adds the state of this router as a change. */
    void addSelf() {
        add(selfUpdate.get());
    }

    /** Applies the updates of other topics that a router has sent. */
    void applyTopics(GossipPayload gossip, long nowMillis) {
        if (!gossip.targets().isEmpty()) {
            targetTopic.sink().apply(gossip.targets(), nowMillis);
        }
        if (!gossip.poison().isEmpty()) {
            poisonTopic.sink().apply(gossip.poison(), nowMillis);
        }
    }

    /** Returns gossip with the state of this router only. */
    GossipPayload announcement() {
        return membersOnly(List.of(selfUpdate.get()));
    }

    /** Returns all members, this router included, in parts of the size of a message. */
    List<GossipPayload> memberList() {
        List<MemberUpdate> all = new ArrayList<>(table.presentMembers());
        all.add(selfUpdate.get());
        List<GossipPayload> messages = new ArrayList<>();
        for (int start = 0; start < all.size(); start += MEMBERS_PER_LIST_MESSAGE) {
            messages.add(membersOnly(all.subList(start, Math.min(all.size(), start + MEMBERS_PER_LIST_MESSAGE))));
        }
        return messages;
    }

    /** Returns gossip that includes this router, for a receiver that may not know it or may consider it dead. */
    GossipPayload createWithSelf(HostId receiver, long nowMillis) {
        addSelf();
        return create(receiver, nowMillis);
    }

    /** Returns gossip for a message to {@code receiver}. */
    GossipPayload create(HostId receiver, long nowMillis) {
        int routerCount = table.presentMembers().size() + 1;
        Map<HostId, MemberUpdate> members = new LinkedHashMap<>();
        // The receiver can refute a suspicion or its death only if it learns of it.
        table.find(receiver)
                .filter(known -> known.state() != RouterState.ALIVE)
                .ifPresent(known -> members.put(receiver, known));
        for (MemberUpdate update : updates.nextUpdates(UPDATES_PER_MESSAGE - members.size(), routerCount)) {
            members.putIfAbsent(update.host(), update);
        }
        int randomMembers = Math.min(RANDOM_MEMBERS_PER_MESSAGE, UPDATES_PER_MESSAGE - members.size());
        for (int i = 0; i < randomMembers; i++) {
            MemberUpdate update = randomMember();
            members.putIfAbsent(update.host(), update);
        }
        return new GossipPayload(
                List.copyOf(members.values()),
                targetTopic.source().nextUpdates(UPDATES_PER_MESSAGE, nowMillis),
                poisonTopic.source().nextUpdates(UPDATES_PER_MESSAGE, nowMillis),
                configurationRevision.getAsLong());
    }

    /** Returns a random member; sending it makes up for updates that were lost in all their transmissions. */
    private MemberUpdate randomMember() {
        List<MemberUpdate> all = table.presentMembers();
        int index = random.nextInt(all.size() + 1);
        return index == all.size() ? selfUpdate.get() : all.get(index);
    }

    private GossipPayload membersOnly(List<MemberUpdate> members) {
        return new GossipPayload(members, List.of(), List.of(), configurationRevision.getAsLong());
    }
}
