package org.amaranthlock.entry;

import java.util.Objects;
import org.amaranthlock.coordination.availability.AvailabilityListener;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.TargetId;

/** Logs and counts what targets say of their availability. */
final class AvailabilityLog implements AvailabilityListener {
    private final DecisionLog log;
    private final EntryMetrics metrics;

    AvailabilityLog(DecisionLog log, EntryMetrics metrics) {
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void onRestAsked(TargetId target, long millis) {
        metrics.recordAvailabilityChange("rest");
        log.write("target-rests", "target", target, "millis", millis);
    }

    @Override
    public void onUnusableRest(TargetId target, String text, long millis) {
        metrics.recordAvailabilityChange("unusable-rest");
        log.write("target-rest-unusable", "target", target, "value", text, "assumed_millis", millis);
    }

    @Override
    public void onLeaving(TargetId target) {
        metrics.recordAvailabilityChange("leaving");
        log.write("target-leaving", "target", target);
    }
}
