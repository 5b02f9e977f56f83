package org.amaranthlock.entry;

/**
 * Time before the forced kill at which running requests are aborted, so that their clients learn it and the process can
 * end by itself.
 *
 * <p>Answers the planned stop of a host that is short of processor time: its timers run late, and so do the answers and
 * the end of the process.
 */
final class AbortMargin {
    private static final long MIN_MILLIS = 700;

    /** Multiple of the lateness of timers that the steps between the abort and the end of the process may take. */
    private static final long LATENESS_FACTOR = 4;

    /** Part of the grace period in which clients lose the rest of their responses at most. */
    private static final long MAX_PART_OF_GRACE = 6;

    private long maxLatenessMillis;

    /** Records how late a timer ran. */
    void recordLateness(long millis) {
        maxLatenessMillis = Math.max(maxLatenessMillis, millis);
    }

    /** Returns the longest margin for a grace period, however late timers run. */
    static long maxMillis(long graceMillis) {
        return Math.max(MIN_MILLIS, graceMillis / MAX_PART_OF_GRACE);
    }

    /** Returns the margin for a grace period. */
    long millis(long graceMillis) {
        long wanted = Math.max(MIN_MILLIS, LATENESS_FACTOR * maxLatenessMillis);
        return Math.min(wanted, maxMillis(graceMillis));
    }
}
