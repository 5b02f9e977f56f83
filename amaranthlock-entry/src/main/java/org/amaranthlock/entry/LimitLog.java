package org.amaranthlock.entry;

import java.util.Objects;
import org.amaranthlock.coordination.targetlimit.KnownLimit;
import org.amaranthlock.coordination.targetlimit.LimitListener;
import org.amaranthlock.coordination.targetlimit.TargetIncarnation;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;

/** Writes the changes of the targets' request rate limits to the log and counts them. */
final class LimitLog implements LimitListener {
    private final DecisionLog log;
    private final EntryMetrics metrics;

    LimitLog(DecisionLog log, EntryMetrics metrics) {
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void onLimitChanged(KnownLimit limit, String source) {
        metrics.recordLimitChange(limit.inForce() ? "named" : "ended");
        log.write(
                limit.inForce() ? "target-limit" : "target-limit-ended",
                "target",
                limit.target().id(),
                "service",
                limit.service(),
                "per_second",
                limit.inForce() ? limit.requestsPerSecond().getAsDouble() : "-",
                "version",
                limit.version(),
                "source",
                source);
    }

    @Override
    public void onUnusableLimit(TargetIncarnation target, String text) {
        metrics.recordLimitChange("unusable");
        log.write("target-limit-unusable", "target", target.id(), "value", text);
    }
}
