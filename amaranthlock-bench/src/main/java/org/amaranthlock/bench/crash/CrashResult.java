package org.amaranthlock.bench.crash;

/**
 * Result of a {@link CrashingPartSimulation}.
 *
 * @param crashes crashes because of the part
 * @param sentAfterFifth requests with the part that were sent later than four seconds after the fifth of these crashes
 * @param soundRejected sound requests that were rejected
 * @param soundRequests sound requests
 * @param soundDelayMillis mean time for which sound requests waited before they were sent, in milliseconds
 * @param longestSoundDelayMillis longest such time, in milliseconds
 * @param cancelled attempts that hosts cancelled because parts of their requests had become suspect
 * @param reports reports that hosts sent to one another
 */
public record CrashResult(
        int crashes,
        int sentAfterFifth,
        int soundRejected,
        int soundRequests,
        double soundDelayMillis,
        long longestSoundDelayMillis,
        int cancelled,
        long reports) {}
