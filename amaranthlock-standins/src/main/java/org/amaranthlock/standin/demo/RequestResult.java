package org.amaranthlock.standin.demo;

import java.util.Set;

/**
 * Result of a request of the demo, as observed by its client.
 *
 * @param label the name of the request, which is also its idempotency key until the client restarts it
 * @param order whether the request is an order
 * @param outcome how the request ended
 * @param requestIds the ids that the routers assigned to the request
 * @param reconnects how many times the client lost its connection and reconnected
 * @param missingTokens the number of tokens that were not delivered
 * @param duplicateTokens the number of tokens that were delivered more than once
 * @param foreignTokens the number of tokens of another generation, or of order responses for another order
 * @param detail the last problem, or an empty string if there was none
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
    /** Outcome of a request. */
    enum Outcome {
        /** The complete response was received. */
        COMPLETE,
        /** The request was rejected without being executed. */
        REJECTED,
        /** It is unknown whether the request was executed. */
        UNKNOWN,
        /** Only a part of the response was received, or none within the time limit. */
        INCOMPLETE
    }

    RequestResult {
        requestIds = Set.copyOf(requestIds);
    }
}
