package org.amaranthlock.coordination.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Histogram of durations; immutable. Each bucket is wider than the one before by a factor of the square root of two;
 * the first one begins at 1 ms.
 *
 * @param counts number of durations by bucket; missing ones at the end are zero
 */
public record DurationBuckets(List<Integer> counts) {
    /** No durations. */
    public static final DurationBuckets EMPTY = new DurationBuckets(List.of());

    /** Number of buckets; the last one begins at about nine minutes. */
    public static final int SIZE = 40;

    public DurationBuckets {
        counts = counts.size() > SIZE ? List.copyOf(counts.subList(0, SIZE)) : List.copyOf(counts);
    }

    /** Returns the bucket of a duration. */
    public static int bucket(long millis) {
        double bucket = 2 * Math.log(Math.max(1, millis)) / Math.log(2);
        return Math.min(SIZE - 1, (int) bucket);
    }

    /** Returns these durations and another one. */
    public DurationBuckets plus(long millis) {
        int bucket = bucket(millis);
        List<Integer> sum = new ArrayList<>(counts);
        sum.addAll(Collections.nCopies(Math.max(0, bucket + 1 - sum.size()), 0));
        sum.set(bucket, sum.get(bucket) + 1);
        return new DurationBuckets(sum);
    }

    /** Returns the durations that are not among {@code earlier}. */
    public DurationBuckets minus(DurationBuckets earlier) {
        List<Integer> rest = new ArrayList<>();
        for (int i = 0; i < counts.size(); i++) {
            rest.add(Math.max(0, counts.get(i) - earlier.count(i)));
        }
        return new DurationBuckets(rest);
    }

    /** Returns the number in a bucket. */
    public int count(int bucket) {
        return bucket < counts.size() ? counts.get(bucket) : 0;
    }

    /** Returns the number of all durations. */
    public int total() {
        return counts.stream().mapToInt(Integer::intValue).sum();
    }
}
