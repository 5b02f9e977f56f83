package org.amaranthlock.entry.explain;

/** Why a request cannot be explained. */
public enum ExplainError {
    /** A parameter is unknown, missing or not readable. */
    WRONG_PARAMETER("wrong-parameter", 400),

    /** The configuration has no such route. */
    UNKNOWN_ROUTE("unknown-route", 404),

    /** The configuration has no API key of such a client account. */
    UNKNOWN_ACCOUNT("unknown-account", 404),

    /** No request with this id is in progress at this host. */
    UNKNOWN_REQUEST("unknown-request", 404),

    /** The call is not a GET. */
    NOT_GET("not-get", 405),

    /** The host has no configuration or no targets yet. */
    HOST_NOT_READY("host-not-ready", 503),

    /** The explanation failed because of a fault of the program. */
    INTERNAL("internal-error", 500),

    /** The host is explaining another request, or does not get to it. */
    HOST_BUSY("host-busy", 503);

    private final String code;
    private final int status;

    ExplainError(String code, int status) {
        this.code = code;
        this.status = status;
    }

    /** Returns the stable code. */
    public String code() {
        return code;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }
}
