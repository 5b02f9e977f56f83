package org.amaranthlock.coordination.placement;

import org.amaranthlock.model.Arguments;

/**
 * State of the fleet, beyond the load of each target, as known to a host that places a request.
 *
 * @param hosts number of hosts that report, including this one
 * @param position position of this host among all hosts, from 0 to below 1; positions of hosts that know each other are
 *     evenly spaced
 * @param unseenRequests expected number of requests that other hosts have placed and whose load is missing from the
 *     candidates'
 * @param requestMillis time that a typical target takes to prefill a typical prompt, or to serve a plain request, in
 *     milliseconds
 * @param streamMillis time for which an engine generates a typical stream, in milliseconds
 */
public record FleetView(int hosts, double position, double unseenRequests, double requestMillis, double streamMillis) {
    /** Time that is assumed for a request before any has been answered; only ratios matter until then. */
    public static final double UNKNOWN_MILLIS = 1_000;

    public FleetView {
        Arguments.requirePositive(hosts, "hosts");
        Arguments.require(position >= 0 && position < 1, "position must be from 0 to below 1");
        Arguments.require(unseenRequests >= 0, "unseen requests must not be negative");
        Arguments.require(requestMillis > 0, "time of a request must be positive");
        Arguments.require(streamMillis > 0, "time of a stream must be positive");
    }

    /** Returns a view for callers that only use the number of unseen requests. */
    public static FleetView unseen(double requests) {
        return new FleetView(1, 0, requests, UNKNOWN_MILLIS, UNKNOWN_MILLIS);
    }
}
