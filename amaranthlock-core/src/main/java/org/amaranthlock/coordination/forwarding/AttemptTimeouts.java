package org.amaranthlock.coordination.forwarding;

import java.util.Objects;

/**
 * Timeouts after which a silent target is probed, asked for a report, or abandoned.
 *
 * <p>Half of the engines that fail stop sending without closing their connections, but slow, busy and queueing engines
 * are silent too. Prefilling a prompt again costs more than a late response, so an engine that still accepts
 * connections gets more time than one that does not.
 */
final class AttemptTimeouts {
    /** Silence after which the target of a generating stream is probed; most gaps between events are shorter. */
    private static final long STREAM_PROBE_MILLIS = 250;

    /** Interval between probes of a target that has not sent its first event. */
    private static final long FIRST_EVENT_PROBE_MILLIS = 400;

    /** Silence of a generating stream after which its engine is asked for a report, and interval between reports. */
    private static final long STREAM_REPORT_MILLIS = 400;

    /** Wait for the first event after which the engine is asked for a report; most prompts are prefilled by then. */
    private static final long FIRST_EVENT_REPORT_MILLIS = 1_800;

    /** Silence after which a generating stream resumes on another target although its own accepts connections. */
    private static final long STREAM_STALL_MILLIS = 1_500;

    /** Multiple of the latency goal after which a stream without a first event is retried on another target. */
    private static final double FIRST_EVENT_GOAL_FACTOR = 1.6;

    /** Time without a response after which an idempotent request is retried on another target. */
    private static final long IDEMPOTENT_TIMEOUT_MILLIS = 350;

    private final Route route;

    AttemptTimeouts(Route route) {
        this.route = Objects.requireNonNull(route, "route");
    }

    /**
     * Returns the silence, in milliseconds, after which an attempt is abandoned although its target accepts
     * connections.
     *
     * @param generating whether the target has sent events
     */
    long inactivityTimeoutMillis(boolean generating) {
        return switch (route.kind()) {
            case IDEMPOTENT -> IDEMPOTENT_TIMEOUT_MILLIS;
            case NON_IDEMPOTENT -> Long.MAX_VALUE;
            case STREAMING ->
                generating ? STREAM_STALL_MILLIS : (long) (route.latencyGoalMillis() * FIRST_EVENT_GOAL_FACTOR);
        };
    }

    /** Returns the silence, in milliseconds, after which a stream's target is probed, and the probe interval. */
    long probeIntervalMillis(boolean generating) {
        return generating ? STREAM_PROBE_MILLIS : FIRST_EVENT_PROBE_MILLIS;
    }

    /** Returns the silence, in milliseconds, after which a stream's engine is asked for a report. */
    long reportDelayMillis(boolean generating) {
        return generating ? STREAM_REPORT_MILLIS : FIRST_EVENT_REPORT_MILLIS;
    }

    /** Returns the interval, in milliseconds, between report requests; reports after a shorter silence are ignored. */
    long reportIntervalMillis() {
        return STREAM_REPORT_MILLIS;
    }
}
