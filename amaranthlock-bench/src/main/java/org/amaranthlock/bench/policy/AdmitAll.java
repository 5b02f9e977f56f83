package org.amaranthlock.bench.policy;

import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.admission.AdmissionController;
import org.amaranthlock.coordination.admission.AdmissionDecision;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;

/** Admits everything at once and allows every retry; the engines' own queues hold the rest. */
final class AdmitAll implements AdmissionController {
    @Override
    public AdmissionDecision admit(RequestSpec spec, long nowMillis) {
        return new AdmissionDecision.Admitted();
    }

    @Override
    public List<RequestId> removeExpired(long nowMillis) {
        return List.of();
    }

    @Override
    public void recordTokens(RequestId request, int tokens, long nowMillis) {
        // Nothing depends on the progress.
    }

    @Override
    public void recordCompletion(RequestId request, boolean succeeded, long nowMillis) {
        // Nothing depends on the end.
    }

    @Override
    public boolean tryAcquireRetry(RequestSpec spec, long nowMillis) {
        return true;
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        return List.of();
    }
}
