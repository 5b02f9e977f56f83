package org.amaranthlock.coordination.forwarding;

import org.apache.commons.rng.UniformRandomProvider;

/** Parts of one {@link ForwardedRequest} that decide on its next attempt, for reading only. */
record RequestInProgress(
        StreamAdmission admission,
        AttemptTracker attempts,
        RetryTargets retryTargets,
        KvCacheBackup kvCacheBackup,
        FirstEventForecast forecast,
        DecisionRecorder decisions,
        long deadlineMillis) {

    /** Returns the attempt that would be sent now if the current one was not running. */
    AttemptPreview previewAttempt(TargetLoadBalancer loadBalancer, UniformRandomProvider copy, long nowMillis) {
        return new AttemptPreviewer(
                        admission.service(),
                        admission.attributes().tokens(),
                        loadBalancer,
                        retryTargets,
                        kvCacheBackup.isPossible(),
                        forecast)
                .preview(copy, deadlineMillis, nowMillis);
    }

    /** Returns what has been done for the request. */
    RequestPreview.Progress progress(long nowMillis) {
        return new RequestPreview.Progress(
                nowMillis - decisions.arrivedAtMillis(),
                admission.waiting(),
                attempts.started(),
                attempts.current(),
                attempts.generating());
    }
}
