package org.amaranthlock.bench.scenario;

/**
 * Demand over time.
 *
 * @param utilisation part of the capacity that the work without stragglers asks for
 * @param stragglerShare part of the requests whose answers are many times longer
 * @param peakFactor factor of the demand between {@code peakFromMillis} and {@code peakToMillis}
 * @param peakFromMillis start of the rise
 * @param peakToMillis end of the peak
 */
public record Demand(
        double utilisation, double stragglerShare, double peakFactor, long peakFromMillis, long peakToMillis) {
    /** The demand rises to its peak within this time. */
    static final long RISE_MILLIS = 2_000;

    /** Returns demand without a peak. */
    public static Demand steady(double utilisation, double stragglerShare) {
        return new Demand(utilisation, stragglerShare, 1, 0, 0);
    }

    /** Returns the factor of the demand at a time. */
    public double factorAt(long atMillis) {
        if (atMillis < peakFromMillis || atMillis >= peakToMillis) {
            return 1;
        }
        double risen = Math.min(1, (double) (atMillis - peakFromMillis) / RISE_MILLIS);
        return 1 + (peakFactor - 1) * risen;
    }
}
