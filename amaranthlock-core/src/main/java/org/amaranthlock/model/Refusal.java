package org.amaranthlock.model;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Final negative response to a request.
 *
 * @param code the reason
 * @param executionStatus whether the request was executed
 * @param detail explanation, including the remedy
 * @param retryAfterMillis delay after which the client should retry, in milliseconds; empty if none is suggested
 */
public record Refusal(ErrorCode code, ExecutionStatus executionStatus, String detail, OptionalLong retryAfterMillis) {
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(executionStatus, "executionStatus");
        Arguments.requireText(detail, "detail");
        Objects.requireNonNull(retryAfterMillis, "retryAfterMillis");
    }
}
