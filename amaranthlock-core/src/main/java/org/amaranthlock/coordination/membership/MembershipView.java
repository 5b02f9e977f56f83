package org.amaranthlock.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.HostId;

/** This router's view of the routers. */
public interface MembershipView {
    /** Returns this router. */
    RouterMember self();

    /** Returns the routers that are alive or suspected, this one included unless it is leaving, in order of id. */
    List<RouterMember> liveMembers();

    /** Returns a router that is live or leaving. */
    Optional<RouterMember> member(HostId host);

    /** Tells whether a router is known to be dead or was never seen. */
    boolean isDead(HostId host);

    /** Tells whether this router is shutting down gracefully. */
    boolean isLeaving();

    /**
     * Returns the live routers in rendezvous order of a text, which is the same on all routers with the same view.
     *
     * @param key any text, for example a ledger key
     */
    List<RouterMember> rendezvousOrder(String key);
}
