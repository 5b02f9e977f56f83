package org.amaranthlock.coordination.membership;

import java.util.ArrayList;
import java.util.List;

/** Selects the relays, the routers of a failure domain that read from the platform on behalf of the others. */
public final class RelaySelector {
    /** Two per failure domain, so that the loss of one does not delay updates. */
    public static final int RELAYS_PER_DOMAIN = 2;

    private RelaySelector() {}

    /** Returns whether this router is a relay of its failure domain. */
    public static boolean isRelay(MembershipView view) {
        RouterMember self = view.self();
        int rank = 0;
        for (RouterMember member : view.rendezvousOrder("relay/" + self.failureDomain())) {
            if (!member.failureDomain().equals(self.failureDomain())) {
                continue;
            }
            if (member.host().equals(self.host())) {
                return true;
            }
            rank++;
            if (rank == RELAYS_PER_DOMAIN) {
                return false;
            }
        }
        return false;
    }

    /** Returns the other live routers of this router's failure domain. */
    public static List<RouterMember> domainPeers(MembershipView view) {
        RouterMember self = view.self();
        List<RouterMember> peers = new ArrayList<>();
        for (RouterMember member : view.liveMembers()) {
            if (member.failureDomain().equals(self.failureDomain())
                    && !member.host().equals(self.host())) {
                peers.add(member);
            }
        }
        return peers;
    }
}
