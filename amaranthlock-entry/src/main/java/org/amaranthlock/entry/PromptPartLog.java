package org.amaranthlock.entry;

import java.util.Objects;
import java.util.Set;
import org.amaranthlock.coordination.promptpart.PromptPartListener;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.PromptPartId;

/** Logs and counts what this host believes of prompt parts, and has it reported to the other hosts. */
final class PromptPartLog implements PromptPartListener {
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Runnable reporter;

    /**
     * Creates a log.
     *
     * @param reporter tells the other hosts of changes
     */
    PromptPartLog(DecisionLog log, EntryMetrics metrics, Runnable reporter) {
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.reporter = Objects.requireNonNull(reporter, "reporter");
    }

    @Override
    public void onSuspected(PromptPartId part, int crashes, Set<PromptPartId> companions) {
        metrics.recordPromptPartChange("suspected");
        log.write("prompt-part-suspected", "part", part, "crashes", crashes, "companions", companions);
    }

    @Override
    public void onCleared(PromptPartId part) {
        metrics.recordPromptPartChange("cleared");
        log.write("prompt-part-cleared", "part", part);
    }

    @Override
    public void onReportDue() {
        reporter.run();
    }
}
