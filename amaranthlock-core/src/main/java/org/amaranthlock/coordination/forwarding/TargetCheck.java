package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;

/** Check whether the target of the next attempt responds, for a request that may crash targets. Not thread-safe. */
final class TargetCheck {
    private final AttemptTracker attempts;
    private final DecisionRecorder decisions;
    private final ForwardingPort port;
    private Optional<PendingAttempt> pending = Optional.empty();

    TargetCheck(AttemptTracker attempts, DecisionRecorder decisions, ForwardingPort port) {
        this.attempts = Objects.requireNonNull(attempts, "attempts");
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Returns whether the result of a check is awaited. */
    boolean running() {
        return pending.isPresent();
    }

    /** Starts a check; the load of the attempt is counted on its target until {@link #end}. */
    void start(PendingAttempt attempt, long nowMillis) {
        EntryTarget target = attempt.destination().target();
        pending = Optional.of(attempt);
        attempts.reserve(target);
        decisions.record("checking", Optional.empty(), target.id().value(), 0, nowMillis);
        port.checkResponds(target);
    }

    /** Ends the check of a target and returns the attempt that waited for it; empty if none did. */
    Optional<PendingAttempt> end(EntryTarget target) {
        Optional<PendingAttempt> ended =
                pending.filter(attempt -> attempt.destination().target().equals(target));
        if (ended.isPresent()) {
            pending = Optional.empty();
            attempts.releaseReservation();
        }
        return ended;
    }
}
