package org.amaranthlock.coordination.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.peer.TargetUpdate;

/** Tracks which targets are draining, combining the observations of all routers. */
public final class TargetDrainState {
    private final Map<TargetId, TargetUpdate> latestUpdates = new TreeMap<>();
    private final GossipQueue<TargetId, TargetUpdate> queue = new GossipQueue<>();
    private final IntSupplier routerCount;
    private long version;

    /**
     * Creates the state without draining targets.
     *
     * @param routerCount supplies the number of live routers, which determines how often an update is sent
     */
    public TargetDrainState(IntSupplier routerCount) {
        this.routerCount = routerCount;
    }

    /** Returns the topic by which the membership gossips the updates. */
    public GossipTopic<TargetUpdate> topic() {
        return new GossipTopic<>(
                (limit, now) -> queue.nextUpdates(limit, routerCount.getAsInt()), (updates, now) -> apply(updates));
    }

    /** Returns whether a target accepts no new work. */
    boolean isDraining(TargetId target) {
        TargetUpdate update = latestUpdates.get(target);
        return update != null && update.draining();
    }

    /** Returns the revision of the latest update of a target, normally its time in milliseconds; 0 if there is none. */
    long revision(TargetId target) {
        TargetUpdate update = latestUpdates.get(target);
        return update == null ? 0 : update.revision();
    }

    /** Returns a counter that increases whenever a target starts or stops draining. */
    long version() {
        return version;
    }

    /** Records an observation of this router and returns the update for the other routers. */
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
