package org.amaranthlock.standin.demo;

import java.util.Set;

/**
 * How one request of the demo ended, as its caller saw it.
 *
 * @param label name of the request, also its idempotency key
 * @param order whether it is an order
 * @param ending how it ended
 * @param requestIds ids that the routers gave it
 * @param reconnects times that the caller lost its connection and returned
 * @param missing tokens left out
 * @param repeated tokens delivered again
 * @param mixed tokens of another generation
 * @param detail last problem, empty if there was none
 */
record RequestResult(
        String label,
        boolean order,
        Ending ending,
        Set<String> requestIds,
        int reconnects,
        int missing,
        int repeated,
        int mixed,
        String detail) {
    /** Ways in which a request ends. */
    enum Ending {
        /** The whole answer arrived. */
        COMPLETE,
        /** It was refused as not run. */
        REFUSED,
        /** It is unknown whether it ran. */
        UNKNOWN,
        /** A part of the answer arrived, or nothing in the time allowed. */
        INCOMPLETE
    }

    RequestResult {
        requestIds = Set.copyOf(requestIds);
    }
}
