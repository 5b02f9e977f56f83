package org.amaranthlock.model;

/** Stable codes of refusals and errors, each with its HTTP status. */
public enum ErrorCode {
    INVALID_REQUEST("invalid-request", 400),
    UNAUTHENTICATED("unauthenticated", 401),
    FORBIDDEN("forbidden", 403),
    UNKNOWN_SERVICE("unknown-service", 404),
    UNKNOWN_REQUEST("unknown-request", 404),
    VERSION_CONFLICT("version-conflict", 409),
    KEY_REUSED("idempotency-key-reused", 422),
    REQUEST_IN_PROGRESS("request-in-progress", 409),
    OUTCOME_UNKNOWN("outcome-unknown", 502),
    PAYLOAD_TOO_LARGE("payload-too-large", 413),
    ACCOUNT_LIMIT("account-limit", 429),
    OVERLOADED("overloaded", 503),
    DEADLINE_UNREACHABLE("deadline-unreachable", 503),
    DEADLINE_EXCEEDED("deadline-exceeded", 504),
    NO_TARGET("no-target", 503),
    TARGET_FAILED("target-failed", 502),
    MODEL_VERSION_GONE("model-version-gone", 503),
    POISON_REQUEST("poison-request", 422),
    PLATFORM_UNAVAILABLE("platform-unavailable", 503),
    RESUME_UNAVAILABLE("resume-unavailable", 410),
    SUPERSEDED("superseded", 409),
    DRAINING("draining", 503),
    INVALID_SETTINGS("invalid-settings", 500),
    INTERNAL("internal-error", 500);

    private final String code;
    private final int status;

    ErrorCode(String code, int status) {
        this.code = code;
        this.status = status;
    }

    /** Returns the code as it appears in responses and records. */
    public String code() {
        return code;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }
}
