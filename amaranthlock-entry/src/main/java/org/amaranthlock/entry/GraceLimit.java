package org.amaranthlock.entry;

import org.amaranthlock.coordination.forwarding.AdmissionResult;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.platform.ClientRequest;

/**
 * Rejects requests that could still be running when a host that stops has to abort them.
 *
 * <p>Answers a planned stop while clients go on sending on open connections, or send their bodies slowly: an aborted
 * request that is not idempotent cannot be repeated, and a rejected one reaches another host at once. Not thread-safe.
 */
final class GraceLimit {
    private long endMillis = Long.MAX_VALUE;

    /** Sets the time at which no request that arrives from now on may be running any more. */
    void endAt(long newEndMillis) {
        endMillis = newEndMillis;
    }

    /** Returns the result of the admission, or a rejection if the request could run beyond the end. */
    AdmissionResult apply(AdmissionResult result, ClientRequest request, long nowMillis) {
        return result instanceof AdmissionResult.Admitted admitted && isTooLong(admitted, request, nowMillis)
                ? new AdmissionResult.Rejected(Rejection.hostStops())
                : result;
    }

    private boolean isTooLong(AdmissionResult.Admitted admitted, ClientRequest request, long nowMillis) {
        long longestMillis =
                request.toAttributes().timeLeftMillis(admitted.route().timeoutMillis());
        return nowMillis > endMillis - longestMillis;
    }
}
