package org.amaranthlock.coordination.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.peer.TargetUpdate;

/** Which targets are leaving, as all routers together have observed it. */
public final class TargetDrainState {
    private final Map<TargetId, TargetUpdate> latestUpdates = new TreeMap<>();
    private final GossipQueue<TargetId, TargetUpdate> queue = new GossipQueue<>();
    private final IntSupplier routerCount;
    private long version;

    /**
     * Creates the news.
     *
     * @param routerCount number of live routers, which determines how often an update is sent
     */
    public TargetDrainState(IntSupplier routerCount) {
        this.routerCount = routerCount;
    }

    /** Returns the topic by which the membership spreads the news. */
    public GossipTopic<TargetUpdate> topic() {
        return new GossipTopic<>(
                (limit, now) -> queue.take(limit, routerCount.getAsInt()), (updates, now) -> apply(updates));
    }

    /** Tells whether a target takes no new work. */
    boolean isDraining(TargetId target) {
        TargetUpdate update = latestUpdates.get(target);
        return update != null && update.draining();
    }

    /** Returns the time of the last update of a target, or 0. */
    long revision(TargetId target) {
        TargetUpdate update = latestUpdates.get(target);
        return update == null ? 0 : update.revision();
    }

    /** Returns a number that changes with every change. */
    long version() {
        return version;
    }

    /** Notes an own observation; returns the update that others should learn. */
    TargetUpdate recordObservation(TargetId target, boolean draining, long nowMillis) {
        long revision = Math.max(nowMillis, revision(target) + 1);
        TargetUpdate update = new TargetUpdate(target, draining, revision);
        apply(List.of(update));
        return update;
    }

    private void apply(List<TargetUpdate> updates) {
        for (TargetUpdate update : updates) {
            if (update.revision() > revision(update.target())) {
                boolean changed = update.draining() != isDraining(update.target());
                latestUpdates.put(update.target(), update);
                queue.add(update.target(), update);
                version += changed ? 1 : 0;
            }
        }
    }
}
