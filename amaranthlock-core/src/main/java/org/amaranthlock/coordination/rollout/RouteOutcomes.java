package org.amaranthlock.coordination.rollout;

import java.util.Objects;
import org.amaranthlock.model.Arguments;

/**
 * Outcomes of a host's requests on one route at the new version or at all others, since the host received the order.
 *
 * @param route name of the route
 * @param newVersion whether the requests went to the new version
 * @param sent requests sent
 * @param ended requests that have ended, for whatever reason
 * @param answered requests that were answered with a success; a stream counts from its first event
 * @param failures requests that failed
 * @param durations times to the answer or the first event of a stream, except at targets that are warming up
 */
public record RouteOutcomes(
        String route,
        boolean newVersion,
        long sent,
        long ended,
        long answered,
        long failures,
        DurationBuckets durations) {
    public RouteOutcomes {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(durations, "durations");
        Arguments.requireNonNegative(sent, "sent");
        Arguments.requireNonNegative(ended, "ended");
        Arguments.requireNonNegative(answered, "answered");
        Arguments.requireNonNegative(failures, "failures");
    }

    /** Returns outcomes without any request. */
    public static RouteOutcomes none(String route, boolean newVersion) {
        return new RouteOutcomes(route, newVersion, 0, 0, 0, 0, DurationBuckets.EMPTY);
    }

    /** Returns the number of events that are counted; it never falls. */
    long events() {
        return sent + ended + answered + failures;
    }

    /** Returns what has been added since {@code earlier}, which has the same route and version. */
    public RouteOutcomes minus(RouteOutcomes earlier) {
        return new RouteOutcomes(
                route,
                newVersion,
                Math.max(0, sent - earlier.sent),
                Math.max(0, ended - earlier.ended),
                Math.max(0, answered - earlier.answered),
                Math.max(0, failures - earlier.failures),
                durations.minus(earlier.durations));
    }
}
