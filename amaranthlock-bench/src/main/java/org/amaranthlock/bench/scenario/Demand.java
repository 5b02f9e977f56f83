package org.amaranthlock.bench.scenario;

/**
 * Describes the request rate over time and the share of stragglers.
 *
 * @param utilization share of the capacity that the requests use, not counting the extra length of stragglers
 * @param stragglerShare share of stragglers: requests whose responses are many times longer than the others
 * @param peakFactor factor applied to the demand between {@code peakFromMillis} and {@code peakToMillis}
 * @param peakFromMillis time at which the demand starts to rise
 * @param peakToMillis time at which the peak ends
 */
public record Demand(
        double utilization, double stragglerShare, double peakFactor, long peakFromMillis, long peakToMillis) {
    /** Time in which the demand rises linearly to its peak. */
    static final long RISE_MILLIS = 2_000;

    /** Returns a constant demand. */
    public static Demand steady(double utilisation, double stragglerShare) {
        return new Demand(utilisation, stragglerShare, 1, 0, 0);
    }

    /** Returns the factor applied to the demand at the given time. */
    public double factorAt(long atMillis) {
        if (atMillis < peakFromMillis || atMillis >= peakToMillis) {
            return 1;
        }
        double riseShare = Math.min(1, (double) (atMillis - peakFromMillis) / RISE_MILLIS);
        return 1 + (peakFactor - 1) * riseShare;
    }
}
