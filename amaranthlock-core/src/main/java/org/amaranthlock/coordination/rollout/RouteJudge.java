package org.amaranthlock.coordination.rollout;

/** Judges the new version on one route by comparison with recent outcomes of the old one on that route. */
final class RouteJudge {
    /** Increase of the failure fraction that makes a version bad. */
    private static final double FAILURE_INCREASE = 0.1;

    /** Increase of the failure fraction of a broken version, which is found after a few requests. */
    private static final double BROKEN_INCREASE = 0.5;

    /**
     * Increase of the fraction of slow answers that makes a version bad; larger than for failures, because the old
     * version's fraction is known less precisely.
     */
    private static final double SLOW_INCREASE = 0.2;

    /** Number of buckets above the median from which on an answer is slow; about three times the median. */
    private static final int SLOW_BUCKETS = 3;

    /** Maximum total weight of the old version's outcomes; as new ones arrive, the weight of earlier ones decays. */
    private static final double MAX_OLD_WEIGHT = 200;

    /** Minimum number of durations of the old version before durations are compared. */
    private static final double MIN_DURATIONS = 10;

    /** Weight of the prior for the old version, in outcomes; the prior is one failure in twenty. */
    private static final double PRIOR_OUTCOMES = 10;

    private static final double PRIOR_BAD = 0.5;

    /** Lower limit of the expected fraction of bad outcomes; any version may have that many. */
    private static final double MIN_EXPECTED = 0.01;

    private static final double MAX_EXPECTED = 0.85;

    private final SequentialTest failureTest = new SequentialTest();
    private final SequentialTest brokenTest = new SequentialTest();
    private final SequentialTest durationTest = new SequentialTest();
    private double oldOutcomes;
    private double oldFailures;
    private final double[] oldDurations = new double[DurationBuckets.SIZE];
    private long outcomes;
    private long failures;
    private long slow;

    /** Adds outcomes of the old version. */
    void addOld(RouteOutcomes added) {
        long count = outcomes(added);
        oldOutcomes += count;
        oldFailures += added.failures();
        double durations = 0;
        for (int i = 0; i < oldDurations.length; i++) {
            oldDurations[i] += added.durations().count(i);
            durations += oldDurations[i];
        }
        if (oldOutcomes > MAX_OLD_WEIGHT) {
            oldFailures *= MAX_OLD_WEIGHT / oldOutcomes;
            oldOutcomes = MAX_OLD_WEIGHT;
        }
        for (int i = 0; durations > MAX_OLD_WEIGHT && i < oldDurations.length; i++) {
            oldDurations[i] *= MAX_OLD_WEIGHT / durations;
        }
    }

    /** Adds outcomes of the new version. */
    void addNew(RouteOutcomes added) {
        long count = outcomes(added);
        outcomes += count;
        failures += added.failures();
        failureTest.add(count, added.failures(), expectedFailures(), FAILURE_INCREASE);
        brokenTest.add(count, added.failures(), expectedFailures(), BROKEN_INCREASE);
        double known = sum(0);
        if (known < MIN_DURATIONS) {
            return;
        }
        int slowFrom = medianBucket(known) + SLOW_BUCKETS;
        long addedSlow = 0;
        for (int i = slowFrom; i < DurationBuckets.SIZE; i++) {
            addedSlow += added.durations().count(i);
        }
        slow += addedSlow;
        durationTest.add(added.durations().total(), addedSlow, expected(sum(slowFrom), known), SLOW_INCREASE);
    }

    boolean isBad() {
        return failureTest.isBad() || brokenTest.isBad() || durationTest.isBad();
    }

    /** Returns whether one of the tests is at least halfway to finding the version bad. */
    boolean isDoubtful() {
        return failureTest.isDoubtful() || brokenTest.isDoubtful() || durationTest.isDoubtful();
    }

    boolean isGood() {
        return failureTest.isGood() && !brokenTest.isBad() && !durationTest.isBad();
    }

    long outcomes() {
        return outcomes;
    }

    long failures() {
        return failures;
    }

    long slow() {
        return slow;
    }

    /** Returns the expected failure fraction of the old version. */
    double expectedFailures() {
        return expected(oldFailures, oldOutcomes);
    }

    private static long outcomes(RouteOutcomes added) {
        return added.answered() + added.failures();
    }

    private static double expected(double bad, double all) {
        double count = all + PRIOR_OUTCOMES;
        double share = Math.min(1, (bad + PRIOR_BAD) / count);
        // One standard error is added, so that a low estimate for the old version does not count against the new one.
        double upper = share + Math.sqrt(share * (1 - share) / count);
        return Math.clamp(upper, MIN_EXPECTED, MAX_EXPECTED);
    }

    private int medianBucket(double total) {
        double below = 0;
        for (int i = 0; i < oldDurations.length; i++) {
            below += oldDurations[i];
            if (below >= total / 2) {
                return i;
            }
        }
        return oldDurations.length - 1;
    }

    private double sum(int from) {
        double sum = 0;
        for (int i = from; i < oldDurations.length; i++) {
            sum += oldDurations[i];
        }
        return sum;
    }
}
