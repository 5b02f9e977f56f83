package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;

/**
 * Measures how late the tasks of an event loop run.
 *
 * <p>Requests whose delay shows here wait for the processor or for other work of this process, all others for a link.
 */
final class EventLoopMonitor {
    private static final long INTERVAL_MILLIS = 500;

    /** Lateness from which on a line is written. */
    private static final long LOGGED_MILLIS = 100;

    private final String name;
    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private long dueAtMillis;

    private EventLoopMonitor(
            String name, EventLoop loop, LongSupplier clockMillis, DecisionLog log, EntryMetrics metrics) {
        this.name = Objects.requireNonNull(name, "name");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts to measure a loop, which log lines and metrics call {@code name}; the measuring ends with the loop. */
    static void start(String name, EventLoop loop, LongSupplier clockMillis, DecisionLog log, EntryMetrics metrics) {
        EventLoopMonitor monitor = new EventLoopMonitor(name, loop, clockMillis, log, metrics);
        loop.execute(monitor::schedule);
    }

    private void schedule() {
        dueAtMillis = clockMillis.getAsLong() + INTERVAL_MILLIS;
        loop.schedule(this::measure, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void measure() {
        long lateMillis = Math.max(0, clockMillis.getAsLong() - dueAtMillis);
        metrics.recordEventLoopLateness(name, lateMillis);
        if (lateMillis >= LOGGED_MILLIS) {
            log.write("event-loop-late", "loop", name, "late_ms", lateMillis);
        }
        schedule();
    }
}
