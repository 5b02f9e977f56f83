package org.amaranthlock.entry.log;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * Writes one structured line for each decision.
 *
 * <p>Lines are {@code event=NAME key=value …}; a value with a space is quoted. Under load no more than
 * {@link #LINES_PER_SECOND} lines are written; those left out are counted, and the count is written with the next line.
 */
public final class DecisionLog {
    /** Most lines per second; about five per request at forty requests a second. */
    public static final int LINES_PER_SECOND = 200;

    private final Logger logger;
    private final LongSupplier clockMillis;
    private final AtomicLong dropped = new AtomicLong();
    private long windowStartMillis;
    private int writtenInWindow;

    /** Creates a log that counts lines by {@code clockMillis}. */
    public DecisionLog(Logger logger, LongSupplier clockMillis) {
        this.logger = logger;
        this.clockMillis = clockMillis;
    }

    /** Writes a line about a decision; {@code fields} are names and values by turns. */
    public synchronized void write(String event, Object... fields) {
        long now = clockMillis.getAsLong();
        if (now - windowStartMillis >= 1_000) {
            windowStartMillis = now;
            writtenInWindow = 0;
        }
        if (writtenInWindow >= LINES_PER_SECOND) {
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
        long missing = dropped.getAndSet(0);
        if (missing > 0) {
            text.append(" lines_dropped=").append(missing);
        }
        return text.toString();
    }

    private static String quote(Object value) {
        String text = String.valueOf(value);
        boolean plain = text.indexOf(' ') < 0 && text.indexOf('"') < 0 && text.indexOf('\n') < 0 && !text.isEmpty();
        return plain ? text : '"' + text.replace('"', '\'').replace('\n', ' ').replace('\r', ' ') + '"';
    }
}
