package org.amaranthlock.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.StreamingHttpClient;

/**
 * Problem document of a router.
 *
 * @param status HTTP status
 * @param code stable code
 * @param executionState {@code not-run}, {@code ran} or {@code unknown}
 * @param retryAfterMillis when to return, 0 if the router did not say
 */
record ProblemDetails(int status, String code, String executionState, long retryAfterMillis) {
    /** Time after which a caller returns to a busy router that named no time, in milliseconds. */
    private static final long DEFAULT_RETRY_MILLIS = 300;

    /** Longest time that a caller of the demo waits before it returns, in milliseconds. */
    private static final long MAX_RETRY_MILLIS = 5_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Statuses that are worth another try even without {@code Retry-After}. */
    private static final Set<Integer> RETRIABLE_STATUSES = Set.of(409, 429, 502, 503, 504);

    static ProblemDetails of(StreamingHttpClient.Response answer) {
        return of(
                answer.status(),
                Json.parseOrMissing(answer.text()),
                answer.headers().value("Retry-After"));
    }

    static ProblemDetails of(int status, JsonNode document, String retryAfter) {
        String ran = document.path("ran").asText("unknown");
        return new ProblemDetails(status, document.path("code").asText("status-" + status), ran, millis(retryAfter));
    }

    /** Tells whether the caller may return. */
    boolean retriable() {
        return retryAfterMillis > 0 || RETRIABLE_STATUSES.contains(status);
    }

    /** Returns how long the caller waits before it returns. */
    long retryDelayMillis() {
        return retryAfterMillis > 0 ? Math.min(retryAfterMillis, MAX_RETRY_MILLIS) : DEFAULT_RETRY_MILLIS;
    }

    RequestResult.Outcome outcome(boolean started) {
        if (started || executionState.equals("ran")) {
            return RequestResult.Outcome.INCOMPLETE;
        }
        return executionState.equals("not-run") ? RequestResult.Outcome.REJECTED : RequestResult.Outcome.UNKNOWN;
    }

    private static long millis(String retryAfter) {
        try {
            return retryAfter == null ? 0 : (long) (Double.parseDouble(retryAfter) * MILLIS_PER_SECOND);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
