package org.amaranthlock.model;

/** Status codes that HTTP has (RFC 9110, section 15). */
public final class HttpStatuses {
    private static final int FIRST = 100;
    private static final int FIRST_FINAL = 200;
    private static final int LAST = 599;

    private HttpStatuses() {}

    /** Returns whether a response may have this status, which is an interim or a final one. */
    public static boolean isValid(long status) {
        return status >= FIRST && status <= LAST;
    }

    /** Returns whether a response with this status ends a request. */
    public static boolean isFinal(long status) {
        return status >= FIRST_FINAL && status <= LAST;
    }
}
