package org.amaranthlock.entry;

import java.util.Objects;
import org.amaranthlock.coordination.brittle.BrittleListener;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.TargetId;

/** Writes to the log, and counts, what targets state about the rejections that they survive. */
final class BrittleLog implements BrittleListener {
    private final DecisionLog log;
    private final EntryMetrics metrics;

    BrittleLog(DecisionLog log, EntryMetrics metrics) {
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void onBrittle(TargetId target, int rejectionsPerSecond) {
        metrics.recordLimitChange("brittle");
        log.write("target-brittle", "target", target, "rejections_per_second", rejectionsPerSecond);
    }

    @Override
    public void onRobust(TargetId target) {
        metrics.recordLimitChange("robust");
        log.write("target-robust", "target", target);
    }

    @Override
    public void onUnusable(TargetId target, String text) {
        metrics.recordLimitChange("brittle-unusable");
        log.write("target-brittle-unusable", "target", target, "value", text);
    }
}
