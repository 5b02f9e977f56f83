package org.amaranthlock.coordination.ledger;

import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;

/** Client through which any router accesses the partitioned ledger. */
public interface LedgerClient extends CoreComponent {
    /**
     * Requests the claim of an at-most-once request; {@link RequestEvent.ClaimDecided} delivers the result.
     *
     * <p>If no result arrives in time, the client raises {@code Unavailable}. It closes a grant that arrives later as
     * not run, because no router dispatches the request under that grant.
     */
    List<Command> requestClaim(RequestSpec spec, long nowMillis);

    /** Submits a final outcome, which is retained and resent until it is durable. */
    List<Command> submitOutcome(FinalOutcome outcome, long nowMillis);

    /** Returns the number of outcomes that are not durable yet. */
    int pendingOutcomeCount();
}
