package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.OptionalLong;

/** Times of the current attempt: since when its target is silent, and what is due because of it. Not thread-safe. */
final class SilenceMonitor {
    private final Route route;
    private final Mechanisms mechanisms;
    private final AttemptTimeouts timeouts;
    private long sentAtMillis;
    private long lastActivityMillis;
    private long lastProbeMillis;
    private long lastReportRequestMillis;

    /** Whether reading is paused because the client reads too slowly; silence is then no sign of a failure. */
    private boolean paused;

    private boolean pausedSinceSend;

    SilenceMonitor(Route route, Mechanisms mechanisms) {
        this.route = Objects.requireNonNull(route, "route");
        this.mechanisms = Objects.requireNonNull(mechanisms, "mechanisms");
        this.timeouts = new AttemptTimeouts(route);
    }

    /** Records that an attempt is sent. */
    void recordSend(long nowMillis) {
        sentAtMillis = nowMillis;
        pausedSinceSend = paused;
        lastActivityMillis = nowMillis;
        lastProbeMillis = nowMillis;
        lastReportRequestMillis = nowMillis;
    }

    /** Records that the target sent something. */
    void recordActivity(long nowMillis) {
        lastActivityMillis = nowMillis;
    }

    /** Records that reading of the response is paused, or resumed. */
    void recordReading(boolean reading, long nowMillis) {
        paused = !reading;
        pausedSinceSend |= paused;
        lastActivityMillis = nowMillis;
    }

    void recordProbe(long nowMillis) {
        lastProbeMillis = nowMillis;
    }

    void recordReportRequest(long nowMillis) {
        lastReportRequestMillis = nowMillis;
    }

    /** Returns the time since the attempt was sent, in milliseconds. */
    long millisSinceSend(long nowMillis) {
        return nowMillis - sentAtMillis;
    }

    /** Returns whether the time since the attempt was sent includes one in which the client read too slowly. */
    boolean pausedSinceSend() {
        return pausedSinceSend;
    }

    /** Returns the time since the attempt was sent; empty if it includes one in which the client read too slowly. */
    OptionalLong targetMillis(long nowMillis) {
        return pausedSinceSend ? OptionalLong.empty() : OptionalLong.of(millisSinceSend(nowMillis));
    }

    /** Returns whether the target has sent something since it was probed. */
    boolean activeSinceProbe() {
        return lastActivityMillis >= lastProbeMillis;
    }

    /** Returns whether the target has been silent so long that the attempt is abandoned if another one can start. */
    boolean isSilentTooLong(boolean generating, long nowMillis) {
        return mechanisms.uses(Mechanism.ABANDONING)
                && silentMillis(nowMillis) >= timeouts.inactivityTimeoutMillis(generating);
    }

    /** Returns the cause of abandoning an attempt that is silent too long. */
    String timeoutCause(boolean generating) {
        if (route.kind() == RouteKind.IDEMPOTENT) {
            return "no-answer";
        }
        return generating ? "stalled" : "no-first-event";
    }

    /** Returns whether the silence is long enough for an engine's report to show that its response is lost. */
    boolean isSilentForReport(long nowMillis) {
        return silentMillis(nowMillis) >= timeouts.reportIntervalMillis();
    }

    /** Returns whether a stream's target is to be probed. */
    boolean isProbeDue(boolean generating, long nowMillis) {
        return !paused
                && nowMillis - Math.max(lastActivityMillis, lastProbeMillis)
                        >= timeouts.probeIntervalMillis(generating);
    }

    /** Returns whether a stream's engine is to be asked for a report. */
    boolean isReportDue(boolean generating, long nowMillis) {
        return mechanisms.uses(Mechanism.ENGINE_REPORTS)
                && nowMillis - Math.max(lastActivityMillis, lastReportRequestMillis) >= timeouts.reportIntervalMillis()
                && silentMillis(nowMillis) >= timeouts.reportDelayMillis(generating);
    }

    /** Returns when something is due next; at most {@code deadlineMillis}. */
    long nextDueMillis(boolean generating, long deadlineMillis, long nowMillis) {
        long dueMillis = switch (route.kind()) {
            case IDEMPOTENT -> {
                long abandonAtMillis = sentAtMillis + timeouts.inactivityTimeoutMillis(generating);
                yield abandonAtMillis > nowMillis ? abandonAtMillis : deadlineMillis;
            }
            case NON_IDEMPOTENT -> deadlineMillis;
            case STREAMING ->
                paused
                        ? deadlineMillis
                        : Math.max(lastActivityMillis, lastProbeMillis) + timeouts.probeIntervalMillis(generating);
        };
        return Math.min(deadlineMillis, dueMillis);
    }

    private long silentMillis(long nowMillis) {
        return paused ? 0 : nowMillis - lastActivityMillis;
    }
}
