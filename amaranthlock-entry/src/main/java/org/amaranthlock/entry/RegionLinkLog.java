package org.amaranthlock.entry;

import java.util.Objects;
import org.amaranthlock.coordination.region.RegionLinkListener;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.Region;

/** Writes to the log, and counts, what crosses the links between regions and what is left out. */
final class RegionLinkLog implements RegionLinkListener {
    private final DecisionLog log;
    private final EntryMetrics metrics;

    RegionLinkLog(DecisionLog log, EntryMetrics metrics) {
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void onCrossing(Region region) {
        metrics.recordRegionDecision(region.value(), "crossing");
    }

    @Override
    public void onCopyLeftOut(Region region) {
        metrics.recordRegionDecision(region.value(), "copy-left-out");
        log.write("region-copy-left-out", "region", region);
    }

    @Override
    public void onBandwidthContradicted(Region region, double setMbps, double observedMbps) {
        log.write(
                "region-link-mbps-wrong",
                "region",
                region,
                "set",
                setMbps,
                "observed",
                Math.round(observedMbps * 10) / 10.0,
                "remedy",
                "correct [forwarding] region-link-mbps or remove it");
    }
}
