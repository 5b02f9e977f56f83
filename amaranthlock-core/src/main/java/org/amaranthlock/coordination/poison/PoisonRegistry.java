package org.amaranthlock.coordination.poison;

import java.util.List;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.peer.PoisonMark;

/** Counts the deaths of targets against the requests that ran there. */
public interface PoisonRegistry {
    /** How a request stands. */
    enum PoisonState {
        /** No target has died under it. */
        CLEAN,
        /** A target has died under it; it should run alone. */
        SUSPECT,
        /** It is refused. */
        POISON
    }

    /** Returns how a request stands, by its ledger key and its content. */
    PoisonState state(RequestSpec spec, long nowMillis);

    /**
     * Notes that a target died while requests ran there.
     *
     * @param target the target
     * @param running the requests of this router that ran there, with the time each had run in milliseconds
     */
    void recordTargetCrash(TargetId target, List<RunningRequest> running, long nowMillis);

    /** Notes that a request completed, which clears a part of its blame. */
    void recordCompletion(RequestSpec spec, long nowMillis);

    /** Returns marks that other routers should learn, at most {@code limit}. */
    List<PoisonMark> nextMarksToGossip(int limit, long nowMillis);

    /** Takes marks over from another router. */
    void merge(List<PoisonMark> marks, long nowMillis);

    /**
     * A request that ran on a target.
     *
     * @param spec the request
     * @param runMillis how long it had run there, in milliseconds
     */
    record RunningRequest(RequestSpec spec, long runMillis) {}
}
