package org.amaranthlock.entry.log;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * Log that writes one structured line per decision.
 *
 * <p>Lines have the form {@code event=NAME key=value …}; empty values and values with a space, a quotation mark
 * or a line break are quoted. So that the log does not grow with the load, at most {@link #MAX_LINES_PER_SECOND} lines
 * are written per second; further lines are dropped, and their number is added to the next line that is written.
 */
public final class DecisionLog {
    /** Maximum number of lines per second; enough for about five lines per request at 40 requests per second. */
    public static final int MAX_LINES_PER_SECOND = 200;

    private final Logger logger;
    private final LongSupplier clockMillis;
    private final AtomicLong dropped = new AtomicLong();
    private long windowStartMillis;
    private int writtenInWindow;

    /** Creates a log that measures its line rate by {@code clockMillis}. */
    public DecisionLog(Logger logger, LongSupplier clockMillis) {
        this.logger = logger;
        this.clockMillis = clockMillis;
    }

    /** Writes a line for a decision; {@code fields} alternates names and values. */
    public synchronized void write(String event, Object... fields) {
        long now = clockMillis.getAsLong();
        if (now - windowStartMillis >= 1_000) {
            windowStartMillis = now;
            writtenInWindow = 0;
        }
        if (writtenInWindow >= MAX_LINES_PER_SECOND) {
            dropped.incrementAndGet();
            return;
        }
        writtenInWindow++;
        logger.info(format(event, fields));
    }

    private String format(String event, Object... fields) {
        StringBuilder text = new StringBuilder("event=").append(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            text.append(' ').append(fields[i]).append('=').append(quote(fields[i + 1]));
        }
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            text.append(" lines_dropped=").append(droppedLines);
        }
        return text.toString();
    }

    /** Quotes a value and replaces its line breaks, so that a client's request id cannot forge a log line. */
    private static String quote(Object value) {
        String text = String.valueOf(value);
        boolean plain = !text.isEmpty() && text.chars().noneMatch(c -> " \"\n\r".indexOf(c) >= 0);
        return plain ? text : '"' + text.replace('"', '\'').replace('\n', ' ').replace('\r', ' ') + '"';
    }
}
