package org.amaranthlock.bench.crash;

import org.amaranthlock.model.Arguments;

/**
 * Load and faults of a {@link CrashingPartSimulation}.
 *
 * @param hosts number of entry hosts
 * @param engines number of engines, in three failure domains
 * @param requestsPerSecond requests of all hosts
 * @param crashingFraction fraction of the requests that have the crashing part
 * @param lossFraction fraction of the reports between hosts that are lost
 * @param maxDelayMillis longest time of a report between two hosts, in milliseconds
 * @param otherCrashesPerMinute crashes of single engines for other reasons
 * @param domainFails whether all engines of a failure domain fail at once in the middle of the run
 */
public record CrashScenario(
        int hosts,
        int engines,
        double requestsPerSecond,
        double crashingFraction,
        double lossFraction,
        double maxDelayMillis,
        double otherCrashesPerMinute,
        boolean domainFails) {
    public CrashScenario {
        Arguments.requirePositive(hosts, "hosts");
        Arguments.requirePositive(engines, "engines");
    }

    /** Returns a scenario without other faults. */
    public static CrashScenario calm(int hosts, double requestsPerSecond, double crashingFraction) {
        return new CrashScenario(hosts, Math.max(13, hosts * 2), requestsPerSecond, crashingFraction, 0, 15, 0, false);
    }

    /** Returns a scenario in which reports are lost and engines also crash for other reasons. */
    public static CrashScenario faulty(int hosts, double requestsPerSecond, double crashingFraction) {
        return new CrashScenario(
                hosts, Math.max(13, hosts * 2), requestsPerSecond, crashingFraction, 0.1, 40, 20, true);
    }
}
