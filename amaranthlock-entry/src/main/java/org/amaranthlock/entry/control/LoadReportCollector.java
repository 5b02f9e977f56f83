package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.amaranthlock.coordination.forwarding.HostLoadReport;

/**
 * Collects the load of this host after changes. All calls are on the traffic loop.
 *
 * <p>Changes in quick succession lead to one report, since making one takes time that requests would have.
 */
public final class LoadReportCollector {
    /** Time within which load changes are combined into one report. */
    private static final long COALESCE_DELAY_MILLIS = 5;

    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final Supplier<HostLoadReport> load;
    private final LongSupplier minIntervalMillis;
    private final Consumer<HostLoadReport> listener;
    private HostLoadReport collected;
    private long collectedAtMillis = Long.MIN_VALUE / 2;
    private boolean scheduled;

    /**
     * Creates a collector.
     *
     * @param load returns the load of this host
     * @param minIntervalMillis returns the least time between two reports
     * @param listener receives each report that differs from the one before
     */
    public LoadReportCollector(
            EventLoop loop,
            LongSupplier clockMillis,
            Supplier<HostLoadReport> load,
            LongSupplier minIntervalMillis,
            Consumer<HostLoadReport> listener) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.load = Objects.requireNonNull(load, "load");
        this.minIntervalMillis = Objects.requireNonNull(minIntervalMillis, "min interval");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Records that the load may have changed. */
    public void onLoadChanged() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        long earliest = collectedAtMillis + minIntervalMillis.getAsLong() - clockMillis.getAsLong();
        loop.schedule(this::collect, Math.max(COALESCE_DELAY_MILLIS, earliest), TimeUnit.MILLISECONDS);
    }

    private void collect() {
        scheduled = false;
        HostLoadReport report = load.get();
        if (!report.equals(collected)) {
            collected = report;
            collectedAtMillis = clockMillis.getAsLong();
            listener.accept(report);
        }
    }
}
