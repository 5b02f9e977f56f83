package org.amaranthlock.model;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Negative final answer to a request.
 *
 * @param code the reason
 * @param executionStatus whether the request was executed
 * @param detail explanation that names the remedy
 * @param retryAfterMillis when the caller should come back, in milliseconds from now
 */
public record Refusal(ErrorCode code, ExecutionStatus executionStatus, String detail, OptionalLong retryAfterMillis) {
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(executionStatus, "fate");
        Arguments.requireText(detail, "detail");
        Objects.requireNonNull(retryAfterMillis, "retryAfterMillis");
    }
}
