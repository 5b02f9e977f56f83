package org.amaranthlock.coordination.admission;

import java.util.List;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;

/**
 * Decides which requests start, wait or are refused.
 *
 * <p>As a component it raises {@link RequestEvent.AdmissionGranted} for queued requests and exchanges account usage and shares
 * with other routers.
 */
public interface AdmissionController extends CoreComponent {
    /** Decides on a new request. */
    AdmissionDecision admit(RequestSpec spec, long nowMillis);

    /** Returns the queued requests that can no longer finish before their deadline, and forgets them. */
    List<RequestId> removeExpired(long nowMillis);

    /** Notes tokens of a running request. */
    void recordTokens(RequestId request, int tokens, long nowMillis);

    /**
     * Notes the end of a request, queued or running.
     *
     * @param succeeded whether the request was answered, which earns its service a part of a retry
     */
    void recordCompletion(RequestId request, boolean succeeded, long nowMillis);

    /**
     * Takes a retry or hedge from the budget of a service.
     *
     * @return whether the budget allows it
     */
    boolean tryAcquireRetry(RequestSpec spec, long nowMillis);
}
