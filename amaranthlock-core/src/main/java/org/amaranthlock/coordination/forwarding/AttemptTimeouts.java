package org.amaranthlock.coordination.forwarding;

import java.util.Objects;

/**
 * Says how long a target may be silent before it is probed, asked about the request, or given up.
 *
 * <p>Load pattern: half of the engines that die fall silent, while slow, busy and queueing engines are silent too. Prompts
 * that are read again cost more than answers that are late, so an engine that accepts connections gets more time than one
 * that does not.
 */
final class AttemptTimeouts {
    /** Silence of a running stream after which its target is probed; pauses between events are mostly shorter. */
    private static final long STREAM_PROBE_MILLIS = 250;

    /** Time between two probes of a target that has not sent its first event. */
    private static final long FIRST_EVENT_PROBE_MILLIS = 400;

    /** Silence of a running stream after which the engine is asked about it, and time between two such questions. */
    private static final long STREAM_REPORT_MILLIS = 400;

    /** Wait for a first event after which the engine is asked about the request; most prompts are read by then. */
    private static final long FIRST_EVENT_REPORT_MILLIS = 1_800;

    /** Silence of a running stream after which it goes on elsewhere although its target accepts connections. */
    private static final long STREAM_STALL_MILLIS = 1_500;

    /** Multiple of a stream's goal after which a missing first event is sought elsewhere. */
    private static final double FIRST_EVENT_GOALS = 1.6;

    /** Time after which an idempotent request that is not answered goes to another target. */
    private static final long IDEMPOTENT_PATIENCE_MILLIS = 350;

    private final Route route;

    AttemptTimeouts(Route route) {
        this.route = Objects.requireNonNull(route, "route");
    }

    /**
     * Returns the silence after which an attempt is given up although its target accepts connections, milliseconds.
     *
     * @param running whether the attempt has sent events
     */
    long giveUpMillis(boolean running) {
        return switch (route.kind()) {
            case IDEMPOTENT -> IDEMPOTENT_PATIENCE_MILLIS;
            case NON_IDEMPOTENT -> Long.MAX_VALUE;
            case STREAMING -> running ? STREAM_STALL_MILLIS : (long) (route.goalMillis() * FIRST_EVENT_GOALS);
        };
    }

    /** Returns the silence after which a stream's target is probed, and the time between two probes, milliseconds. */
    long probeMillis(boolean running) {
        return running ? STREAM_PROBE_MILLIS : FIRST_EVENT_PROBE_MILLIS;
    }

    /** Returns the silence after which a stream's engine is asked about the request, milliseconds. */
    long reportMillis(boolean running) {
        return running ? STREAM_REPORT_MILLIS : FIRST_EVENT_REPORT_MILLIS;
    }

    /** Returns the time between two questions, and the silence without which an answer says nothing, milliseconds. */
    long reportIntervalMillis() {
        return STREAM_REPORT_MILLIS;
    }
}
