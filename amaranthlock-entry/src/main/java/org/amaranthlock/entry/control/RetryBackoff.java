package org.amaranthlock.entry.control;

import org.amaranthlock.model.Arguments;

/**
 * Delays between calls to a store that fails.
 *
 * <p>Answers an outage of the store under a large fleet: each host would call at the rate of one that has missed a single
 * call, and the calls of all are charged. The first delay is short, since most failures are single ones; each further one
 * is twice as long, up to a bound after which the return of the store would be noticed late. Not thread-safe.
 */
final class RetryBackoff {
    private final long firstMillis;
    private final long maxMillis;
    private long nextMillis;

    RetryBackoff(long firstMillis, long maxMillis) {
        this.firstMillis = Arguments.requirePositive(firstMillis, "first delay");
        this.maxMillis = Math.max(firstMillis, maxMillis);
        this.nextMillis = firstMillis;
    }

    /** Returns the delay after a further failed call, in milliseconds. */
    long nextDelayMillis() {
        long delay = nextMillis;
        nextMillis = Math.min(2 * nextMillis, maxMillis);
        return delay;
    }

    /** Records that a call succeeded. */
    void reset() {
        nextMillis = firstMillis;
    }
}
