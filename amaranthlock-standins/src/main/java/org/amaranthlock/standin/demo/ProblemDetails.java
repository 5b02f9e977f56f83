package org.amaranthlock.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.StreamingHttpClient;

/**
 * Problem document returned by a router.
 *
 * @param status the HTTP status code
 * @param code the stable, machine-readable problem code
 * @param executionStatus whether the request was executed: {@code not-run}, {@code ran} or {@code unknown}
 * @param retryAfterMillis the delay requested by {@code Retry-After}, in milliseconds, or 0 if absent
 */
record ProblemDetails(int status, String code, String executionStatus, long retryAfterMillis) {
    /** Retry delay if the router requested none, in milliseconds. */
    private static final long DEFAULT_RETRY_MILLIS = 300;

    /** Upper bound on the retry delay, in milliseconds. */
    private static final long MAX_RETRY_MILLIS = 5_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Status codes that are retried even without {@code Retry-After}. */
    private static final Set<Integer> RETRIABLE_STATUSES = Set.of(409, 429, 502, 503, 504);

    static ProblemDetails of(StreamingHttpClient.Response response) {
        return of(
                response.status(),
                Json.parseOrMissing(response.text()),
                response.headers().value("Retry-After"));
    }

    static ProblemDetails of(int status, JsonNode document, String retryAfter) {
        String executionState = document.path("ran").asText("unknown");
        return new ProblemDetails(
                status,
                document.path("code").asText("status-" + status),
                executionState,
                parseRetryAfterMillis(retryAfter));
    }

    /** Returns whether the client may retry the request. */
    boolean retriable() {
        return retryAfterMillis > 0 || RETRIABLE_STATUSES.contains(status);
    }

    /** Returns how long the client waits before it retries, in milliseconds. */
    long retryDelayMillis() {
        return retryAfterMillis > 0 ? Math.min(retryAfterMillis, MAX_RETRY_MILLIS) : DEFAULT_RETRY_MILLIS;
    }

    /**
     * Returns the outcome of the request if the client does not retry it.
     *
     * @param responseStarted whether a part of the response has been received
     */
    RequestResult.Outcome outcome(boolean responseStarted) {
        if (responseStarted || executionStatus.equals("ran")) {
            return RequestResult.Outcome.INCOMPLETE;
        }
        return executionStatus.equals("not-run") ? RequestResult.Outcome.REJECTED : RequestResult.Outcome.UNKNOWN;
    }

    private static long parseRetryAfterMillis(String retryAfter) {
        try {
            return retryAfter == null ? 0 : (long) (Double.parseDouble(retryAfter) * MILLIS_PER_SECOND);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
