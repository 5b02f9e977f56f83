package org.amaranthlock.model;

import java.util.Objects;

/**
 * Identifies one attempt to execute a request on a target.
 *
 * <p>Numbers start at 1 and increase across all routers that serve the request; only the attempt with the highest
 * number may append to the response.
 *
 * @param request the request
 * @param number the attempt number, from 1
 */
public record AttemptId(RequestId request, int number) {
    public AttemptId {
        Objects.requireNonNull(request, "request");
        Arguments.requirePositive(number, "attempt number");
    }

    /** Returns the id of the next attempt. */
    public AttemptId next() {
        return new AttemptId(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "#" + number;
    }
}
