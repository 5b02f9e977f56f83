package org.amaranthlock.coordination.region;

import org.amaranthlock.model.Arguments;

/**
 * Traffic of one host with another region, in bytes per second.
 *
 * @param sent traffic to the other region
 * @param received traffic from there
 * @param bulk sum of both for uses that are {@linkplain LinkUse#bulk bulk}
 */
public record LinkRate(long sent, long received, long bulk) {
    /** Least difference of traffic that is reported, in bytes per second. */
    private static final double MIN_DIFFERENCE = 10_000;

    /** Least difference that is reported, as a fraction of the greater value. */
    private static final double MIN_DIFFERENCE_FRACTION = 0.25;

    /** No traffic. */
    public static final LinkRate NONE = new LinkRate(0, 0, 0);

    /** Checks that no rate is negative. */
    public LinkRate {
        Arguments.requireNonNegative(sent, "sent");
        Arguments.requireNonNegative(received, "received");
        Arguments.requireNonNegative(bulk, "bulk");
    }

    /** Returns whether all values are near those of another rate. */
    boolean isNear(LinkRate other) {
        return isNear(sent, other.sent, MIN_DIFFERENCE)
                && isNear(received, other.received, MIN_DIFFERENCE)
                && isNear(bulk, other.bulk, MIN_DIFFERENCE);
    }

    /** Returns whether two values differ by less than a minimum, or than a fraction of the greater one. */
    static boolean isNear(double value, double other, double minDifference) {
        double difference = Math.abs(value - other);
        return difference < minDifference || difference < MIN_DIFFERENCE_FRACTION * Math.max(value, other);
    }
}
