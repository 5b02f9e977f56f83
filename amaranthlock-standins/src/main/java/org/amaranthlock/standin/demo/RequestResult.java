package org.amaranthlock.standin.demo;

import java.util.Set;

/**
 * How one request of the demo ended, as its caller saw it.
 *
 * @param label name of the request, also its idempotency key
 * @param order whether it is an order
 * @param outcome how it ended
 * @param requestIds ids that the routers gave it
 * @param reconnects times that the caller lost its connection and returned
 * @param missingTokens tokens left out
 * @param duplicateTokens tokens delivered again
 * @param foreignTokens tokens of another generation
 * @param detail last problem, empty if there was none
 */
record RequestResult(
        String label,
        boolean order,
        Outcome outcome,
        Set<String> requestIds,
        int reconnects,
        int missingTokens,
        int duplicateTokens,
        int foreignTokens,
        String detail) {
    /** Ways in which a request ends. */
    enum Outcome {
        /** The whole answer arrived. */
        COMPLETE,
        /** It was refused as not run. */
        REJECTED,
        /** It is unknown whether it ran. */
        UNKNOWN,
        /** A part of the answer arrived, or nothing in the time allowed. */
        INCOMPLETE
    }

    RequestResult {
        requestIds = Set.copyOf(requestIds);
    }
}
