package org.amaranthlock.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.HostId;

/** Provides this router's view of the cluster of routers. */
public interface MembershipView {
    /** Returns this router. */
    RouterMember self();

    /** Returns the alive and suspected routers in order of id, including this one unless it is leaving. */
    List<RouterMember> liveMembers();

    /** Returns the router with the given id, if it is live or leaving. */
    Optional<RouterMember> member(HostId host);

    /** Returns whether a router is known to be dead or was never seen. */
    boolean isDead(HostId host);

    /** Returns whether this router is shutting down gracefully. */
    boolean isLeaving();

    /**
     * Returns the live routers in the rendezvous order of a key, which is the same on all routers with the same view.
     *
     * @param key any string, for example a ledger key
     */
    List<RouterMember> rendezvousOrder(String key);
}
