package org.amaranthlock.bench.scenario;

/**
 * Demand over time.
 *
 * @param utilisation part of the capacity that the work without stragglers asks for
 * @param stragglerShare part of the requests whose answers are many times longer
 * @param crestFactor factor of the demand between {@code crestFromMillis} and {@code crestToMillis}
 * @param crestFromMillis start of the rise
 * @param crestToMillis end of the crest
 */
public record Demand(
        double utilisation, double stragglerShare, double crestFactor, long crestFromMillis, long crestToMillis) {
    /** The demand rises to its crest within this time. */
    private static final long RISE_MILLIS = 2_000;

    /** Returns demand without a crest. */
    public static Demand steady(double utilisation, double stragglerShare) {
        return new Demand(utilisation, stragglerShare, 1, 0, 0);
    }

    /** Returns the factor of the demand at a time. */
    public double factorAt(long atMillis) {
        if (atMillis < crestFromMillis || atMillis >= crestToMillis) {
            return 1;
        }
        double risen = Math.min(1, (double) (atMillis - crestFromMillis) / RISE_MILLIS);
        return 1 + (crestFactor - 1) * risen;
    }
}
