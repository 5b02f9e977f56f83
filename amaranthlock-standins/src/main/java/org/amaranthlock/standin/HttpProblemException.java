package org.amaranthlock.standin;

/** Thrown by a handler to end a request with an {@code application/problem+json} response. */
public final class HttpProblemException extends RuntimeException {
    private final int status;
    private final String code;

    /**
     * Creates an exception.
     *
     * @param status the HTTP status code
     * @param code the stable, machine-readable problem code
     * @param detail the explanation for the client
     */
    public HttpProblemException(int status, String code, String detail) {
        super(detail);
        this.status = status;
        this.code = code;
    }

    /** Returns the HTTP status code. */
    public int status() {
        return status;
    }

    /** Returns the machine-readable problem code. */
    public String code() {
        return code;
    }
}
