package org.amaranthlock.bench.sim;

import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.ledger.LedgerClient;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;

/** Ledger client that grants every claim at once and records the outcomes of the simulation. */
public final class RecordingLedgerClient implements LedgerClient {
    private final List<OutcomeRecord> outcomes = new ArrayList<>();

    /** Returns the outcome records, in the order in which the requests ended. */
    public List<OutcomeRecord> outcomes() {
        return List.copyOf(outcomes);
    }

    @Override
    public List<Command> requestClaim(RequestSpec spec, long nowMillis) {
        return List.of(new Command.Raise(new RequestEvent.ClaimDecided(spec.id(), new ClaimResult.Granted(nowMillis))));
    }

    @Override
    public List<Command> submitOutcome(FinalOutcome outcome, long nowMillis) {
        outcomes.add(outcome.record());
        return List.of();
    }

    @Override
    public int pendingOutcomeCount() {
        return 0;
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        return List.of();
    }
}
