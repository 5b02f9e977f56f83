package org.amaranthlock.coordination.routing;

import java.util.Optional;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Strategy for the selection of targets, based on their observed load and latency. */
public interface TargetSelector {
    /** Result of an attempt. */
    enum AttemptResult {
        SUCCEEDED,
        FAILED,
        CANCELLED
    }

    /** Selects an available target; empty if none satisfies the constraints. */
    Optional<Target> select(RequestSpec spec, SelectionContext context, long nowMillis);

    /** Records that an attempt was sent to a target. */
    void onAttemptStarted(AttemptId attempt, RequestSpec spec, Target target, int resumedTokens, long nowMillis);

    /** Records received tokens; a service response counts as one token. */
    void onTokens(AttemptId attempt, int tokens, long nowMillis);

    /** Records the end of an attempt. */
    void onAttemptFinished(AttemptId attempt, AttemptResult result, long nowMillis);

    /** Records a load report or cache events, both of which arrive delayed. */
    void onTargetEvent(TargetEvent event, long nowMillis);

    /** Returns the number of this router's running attempts at a target. */
    int localAttempts(TargetId target);

    /** Returns the expected time between tokens at a target, in milliseconds. */
    double expectedTokenLatencyMillis(TargetId target);

    /** Returns the time between tokens at the median target of a service, in milliseconds; infinite if unknown. */
    double medianTokenLatencyMillis(ServiceName service, long nowMillis);

    /** Returns the expected time to the first token of an attempt at a target, in milliseconds. */
    double expectedFirstTokenMillis(RequestSpec spec, TargetId target, int resumedTokens);
}
