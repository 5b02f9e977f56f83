package org.amaranthlock.coordination.admission;

import java.util.List;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;

/**
 * Strategy that decides whether a request starts, is queued or is refused.
 *
 * <p>As a component it raises {@link RequestEvent.AdmissionGranted} for queued requests and exchanges account usage and
 * shares with other routers.
 */
public interface AdmissionController extends CoreComponent {
    /** Decides on a new request. */
    AdmissionDecision admit(RequestSpec spec, long nowMillis);

    /** Removes and returns the queued requests that can no longer complete before their deadline. */
    List<RequestId> removeExpired(long nowMillis);

    /** Records tokens that a running request has generated. */
    void recordTokens(RequestId request, int tokens, long nowMillis);

    /**
     * Records the end of a queued or running request.
     *
     * @param succeeded whether the request succeeded, which adds a fraction of a retry to its service's budget
     */
    void recordCompletion(RequestId request, boolean succeeded, long nowMillis);

    /**
     * Acquires a retry or hedge from the retry budget of a service.
     *
     * @return whether the budget allowed it
     */
    boolean tryAcquireRetry(RequestSpec spec, long nowMillis);
}
