package org.amaranthlock.standin;

/** Ends a request with an {@code application/problem+json} answer. */
public final class HttpProblemException extends RuntimeException {
    private final int status;
    private final String code;

    /**
     * Creates a problem.
     *
     * @param status HTTP status
     * @param code stable code of the problem
     * @param detail explanation for the caller
     */
    public HttpProblemException(int status, String code, String detail) {
        super(detail);
        this.status = status;
        this.code = code;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the stable code. */
    public String code() {
        return code;
    }
}
