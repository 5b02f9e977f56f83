package org.amaranthlock.coordination.region;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Bandwidth of the link to one region, either set or learned from when traffic is delayed.
 *
 * <p>A link that delays packets while its traffic is high carries what it can; one that does not delay them can carry
 * at least its traffic. All rates are in bytes per millisecond. Not thread-safe.
 */
final class LinkBandwidth {
    /** Multiple of the mean traffic from which on a delay is attributed to the traffic. */
    private static final double HIGH_TRAFFIC = 1.2;

    /** Time constant of the mean traffic, in milliseconds. */
    private static final double MEAN_MILLIS = 20_000;

    /** Weight of an observation in the learned bandwidth. */
    private static final double LEARNED_WEIGHT = 0.25;

    /** Multiple of the set bandwidth that passes without delay if the setting is too low. */
    private static final double TOO_LOW = 1.25;

    /** Fraction of the set bandwidth at which traffic is delayed if the setting is too high. */
    private static final double TOO_HIGH = 0.5;

    /** Time for which traffic contradicts the setting before it counts as wrong, in milliseconds. */
    private static final long CONTRADICTED_MILLIS = 3_000;

    private final OptionalDouble set;
    private double learned = Double.POSITIVE_INFINITY;
    private double meanTraffic;
    private long lastMillis;
    private long contradictedMillis;
    private boolean contradicted;

    /** Creates a bandwidth; {@code set} is empty if it is to be learned. */
    LinkBandwidth(OptionalDouble set) {
        this.set = set;
    }

    /** Returns the bandwidth; infinite if it is neither set nor learned. */
    double bytesPerMilli() {
        return set.orElse(learned);
    }

    /**
     * Records the traffic of all hosts and whether it is delayed.
     *
     * @return the observed bandwidth if it contradicts the set one, which is reported once
     */
    Optional<Double> observe(double traffic, boolean delayed, long nowMillis) {
        double elapsedMillis = Math.clamp(nowMillis - lastMillis, 0, CONTRADICTED_MILLIS);
        lastMillis = nowMillis;
        learn(traffic, delayed);
        meanTraffic += (traffic - meanTraffic) * (1 - Math.exp(-elapsedMillis / MEAN_MILLIS));
        boolean contradicts = set.isPresent() && contradicts(traffic, delayed);
        contradictedMillis = contradicts ? contradictedMillis + (long) elapsedMillis : 0;
        if (contradicted || contradictedMillis < CONTRADICTED_MILLIS) {
            return Optional.empty();
        }
        contradicted = true;
        return Optional.of(traffic);
    }

    private void learn(double traffic, boolean delayed) {
        if (!delayed) {
            learned = Math.max(learned, traffic);
        } else if (traffic > HIGH_TRAFFIC * meanTraffic) {
            learned = Double.isInfinite(learned) ? traffic : learned + LEARNED_WEIGHT * (traffic - learned);
        }
    }

    private boolean contradicts(double traffic, boolean delayed) {
        return delayed ? traffic < TOO_HIGH * set.getAsDouble() : traffic > TOO_LOW * set.getAsDouble();
    }
}
