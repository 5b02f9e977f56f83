package org.amaranthlock.bench.policy;

import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.admission.AdmissionController;
import org.amaranthlock.coordination.admission.AdmissionDecision;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;

/** Admits every request at once and allows every retry; excess requests wait in the engines' own queues. */
final class AdmitAllController implements AdmissionController {
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
        // Admission does not depend on progress.
    }

    @Override
    public void recordCompletion(RequestId request, boolean succeeded, long nowMillis) {
        // Admission does not depend on the number of open requests.
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
