package org.amaranthlock.model;

import java.util.Objects;

/**
 * Identifies one attempt to run a request on a target.
 *
 * <p>Numbers start at 1 and grow over all routers that serve the request, so only the attempt with the highest number
 * may add to an answer.
 *
 * @param request the request
 * @param number the number of the attempt, from 1
 */
public record AttemptId(RequestId request, int number) {
    public AttemptId {
        Objects.requireNonNull(request, "request");
        Arguments.requirePositive(number, "attempt number");
    }

    /** Returns the id of the following attempt. */
    public AttemptId next() {
        return new AttemptId(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "#" + number;
    }
}
