package org.amaranthlock.entry.control;

import org.amaranthlock.coordination.rollout.RolloutEvidence;
import org.amaranthlock.coordination.rollout.RolloutGrant;
import org.amaranthlock.entry.peer.EntryPeerMessage;

/** Listener for the messages of other hosts on roll-outs. */
public interface RolloutListener {
    /** Listener of a host that does not take part in roll-outs. */
    RolloutListener NONE = new RolloutListener() {
        @Override
        public void onGrant(RolloutGrant grant) {}

        @Override
        public void onEvidence(RolloutEvidence evidence) {}

        @Override
        public void onOrders(EntryPeerMessage.RolloutOrdersTold told) {}
    };

    /** Handles a grant of a controller. */
    void onGrant(RolloutGrant grant);

    /** Handles the evidence of another host. */
    void onEvidence(RolloutEvidence evidence);

    /** Handles the orders that another host of the failure domain has read. */
    void onOrders(EntryPeerMessage.RolloutOrdersTold told);
}
