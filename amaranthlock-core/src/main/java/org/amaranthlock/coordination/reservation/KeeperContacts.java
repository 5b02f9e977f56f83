package org.amaranthlock.coordination.reservation;

import java.util.HashMap;
import java.util.Map;

/**
 * How long a host waits for the answers of each keeper, and when it asks none.
 *
 * <p>Not thread-safe.
 */
final class KeeperContacts {
    /** Longest wait for an answer, in milliseconds. */
    static final long MAX_WAIT_MILLIS = 100;

    /** Longest wait as a fraction of the time of a prompt, so that an unresponsive keeper delays a stream little. */
    private static final double MAX_WAIT_PROMPTS = 0.1;

    /** Shortest wait unless the longest is shorter, in milliseconds; busy hosts answer after some milliseconds. */
    private static final double MIN_WAIT_MILLIS = 10;

    /** Weight of a new round trip in the mean (Jacobson 1988, like the next two). */
    private static final double MEAN_WEIGHT = 1.0 / 8;

    /** Weight of a new deviation in the mean deviation. */
    private static final double VARIATION_WEIGHT = 1.0 / 4;

    /** Number of mean deviations by which the wait exceeds the mean round trip. */
    private static final double VARIATIONS = 4;

    /** Time after which a measurement is discarded, in milliseconds; a keeper that was slow may be fast again. */
    private static final long MEASUREMENT_EXPIRY_MILLIS = 10_000;

    /** Pause after a query without an answer, in milliseconds; doubled each time up to the longest one. */
    private static final long PAUSE_MILLIS = 500;

    /** Longest pause, in milliseconds. */
    private static final long MAX_PAUSE_MILLIS = 4_000;

    private final Map<String, Contact> contacts = new HashMap<>();

    private static final class Contact {
        private double meanMillis = Double.NaN;
        private double variationMillis;
        private long measuredAtMillis;
        private long nextPauseMillis = PAUSE_MILLIS;
        private long pausedUntilMillis = Long.MIN_VALUE;
    }

    /** Returns whether a keeper has not answered recently and is not asked. */
    boolean isPaused(String keeper, long nowMillis) {
        Contact contact = contacts.get(keeper);
        return contact != null && nowMillis < contact.pausedUntilMillis;
    }

    /** Returns the expected time until an answer, in milliseconds; 0 if it has not been measured recently. */
    double roundTripMillis(String keeper, long nowMillis) {
        Contact contact = contacts.get(keeper);
        return contact == null || !isMeasured(contact, nowMillis) ? 0 : contact.meanMillis;
    }

    /** Returns how long to wait for an answer, in milliseconds. */
    long waitMillis(String keeper, long promptMillis, long nowMillis) {
        double longest = Math.min(MAX_WAIT_MILLIS, promptMillis * MAX_WAIT_PROMPTS);
        Contact contact = contacts.get(keeper);
        if (contact == null || !isMeasured(contact, nowMillis)) {
            return (long) longest;
        }
        double usual = contact.meanMillis + VARIATIONS * contact.variationMillis;
        return (long) Math.min(longest, Math.max(MIN_WAIT_MILLIS, usual));
    }

    /** Records an answer that came {@code millis} after its query. */
    void recordAnswer(String keeper, long millis, long nowMillis) {
        Contact contact = contacts.computeIfAbsent(keeper, _ -> new Contact());
        if (isMeasured(contact, nowMillis)) {
            double deviation = millis - contact.meanMillis;
            contact.meanMillis += MEAN_WEIGHT * deviation;
            contact.variationMillis += VARIATION_WEIGHT * (Math.abs(deviation) - contact.variationMillis);
        } else {
            contact.meanMillis = millis;
            contact.variationMillis = millis / 2.0;
        }
        contact.measuredAtMillis = nowMillis;
        contact.nextPauseMillis = PAUSE_MILLIS;
    }

    /** Records a query that was not answered in time or could not be sent. */
    void recordNoAnswer(String keeper, long nowMillis) {
        Contact contact = contacts.computeIfAbsent(keeper, _ -> new Contact());
        if (nowMillis < contact.pausedUntilMillis) {
            return; // one of several queries that were under way at the same time
        }
        contact.pausedUntilMillis = nowMillis + contact.nextPauseMillis;
        contact.nextPauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * contact.nextPauseMillis);
        contact.meanMillis = Double.NaN;
    }

    private static boolean isMeasured(Contact contact, long nowMillis) {
        return !Double.isNaN(contact.meanMillis) && nowMillis - contact.measuredAtMillis < MEASUREMENT_EXPIRY_MILLIS;
    }
}
