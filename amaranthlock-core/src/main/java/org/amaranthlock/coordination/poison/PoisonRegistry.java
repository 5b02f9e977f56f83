package org.amaranthlock.coordination.poison;

import java.util.List;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.peer.PoisonMark;

/** Registry of requests that crash targets, based on the requests that ran on a target when it crashed. */
public interface PoisonRegistry {
    /** Poison state of a request. */
    enum PoisonState {
        /** No target crashed while the request ran there. */
        CLEAN,
        /** A target crashed while the request ran there; the request should run exclusively. */
        SUSPECT,
        /** The request is refused because it crashes targets. */
        POISON
    }

    /** Returns the poison state of a request, by its ledger key and its content. */
    PoisonState state(RequestSpec spec, long nowMillis);

    /**
     * Records that a target crashed while requests ran there.
     *
     * @param target the target
     * @param running the requests of this router that ran there
     */
    void recordTargetCrash(TargetId target, List<RunningRequest> running, long nowMillis);

    /** Records that a request completed, which clears its crash score. */
    void recordCompletion(RequestSpec spec, long nowMillis);

    /** Returns at most {@code limit} marks to gossip to other routers. */
    List<PoisonMark> nextMarksToGossip(int limit, long nowMillis);

    /** Merges marks received from another router. */
    void merge(List<PoisonMark> marks, long nowMillis);

    /**
     * Request that ran on a target when it crashed.
     *
     * @param spec the request
     * @param runMillis time for which it had run there, in milliseconds
     */
    record RunningRequest(RequestSpec spec, long runMillis) {}
}
