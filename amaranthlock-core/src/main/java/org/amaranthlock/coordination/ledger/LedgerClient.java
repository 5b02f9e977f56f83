package org.amaranthlock.coordination.ledger;

import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;

/** Access to the partitioned ledger from any router. */
public interface LedgerClient extends CoreComponent {
    /**
     * Asks for the claim of an at-most-once request; {@link RequestEvent.ClaimDecided} brings the verdict.
     *
     * <p>Without a verdict in time the client raises {@code Unavailable}; a grant that arrives later is closed as not
     * run by this client, since nobody dispatches under it.
     */
    List<Command> requestClaim(RequestSpec spec, long nowMillis);

    /** Hands over a final outcome; it is kept and repeated until it lasts. */
    List<Command> submitOutcome(FinalOutcome outcome, long nowMillis);

    /** Returns the number of outcomes that do not last yet. */
    int pendingOutcomeCount();
}
