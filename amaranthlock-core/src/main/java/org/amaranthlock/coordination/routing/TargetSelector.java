package org.amaranthlock.coordination.routing;

import java.util.Optional;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Chooses targets and learns from what it observes of them. */
public interface TargetSelector {
    /** How an attempt ended, as seen by the selector. */
    enum AttemptResult {
        SUCCEEDED,
        FAILED,
        CANCELLED
    }

    /** Chooses an available target, or none if no available target meets the conditions. */
    Optional<Target> select(RequestSpec spec, SelectionContext context, long nowMillis);

    /** Notes that an attempt was sent to a target. */
    void onAttemptStarted(AttemptId attempt, RequestSpec spec, Target target, int resumedTokens, long nowMillis);

    /** Notes tokens, or the first byte of a service's answer as one token. */
    void onTokens(AttemptId attempt, int tokens, long nowMillis);

    /** Notes the end of an attempt. */
    void onAttemptFinished(AttemptId attempt, AttemptResult result, long nowMillis);

    /** Notes a late load report or late cache events. */
    void onTargetEvent(TargetEvent event, long nowMillis);

    /** Returns the number of this router's attempts that run at a target. */
    int inFlightAttempts(TargetId target);

    /** Returns the expected time between tokens at a target, in milliseconds. */
    double expectedTokenLatencyMillis(TargetId target);

    /** Returns the time between tokens at the service's median target, in milliseconds; infinite if unknown. */
    double medianTokenLatencyMillis(ServiceName service, long nowMillis);

    /** Returns the expected time to the first token of an attempt at a target, in milliseconds. */
    double expectedFirstTokenMillis(RequestSpec spec, TargetId target, int resumedTokens);
}
