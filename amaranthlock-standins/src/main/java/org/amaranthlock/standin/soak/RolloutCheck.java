package org.amaranthlock.standin.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks a finished roll-out by the output of the workers: the exposure to a bad version, and that a completed one
 * replaces the old one.
 *
 * @param orderedMillis time at which the order was written, like the other times in Unix milliseconds
 * @param deadlineMillis time at which it had to be finished
 * @param finishedMillis time at which its final state was seen
 * @param completed whether that state is "completed"
 */
record RolloutCheck(long orderedMillis, long deadlineMillis, long finishedMillis, boolean completed) {
    /** Bounds of the settings of the hosts. */
    static final double EXPOSURE_SHARE = 0.1;

    static final int EXPOSURE_SLACK = 50;
    static final int ROLLBACK_MILLIS = 5_000;

    private static final Pattern RUN = Pattern.compile("^run .* at=(\\d+)$");
    private static final Pattern FAILING = Pattern.compile("^failing at=(\\d+)$");

    /** Number of bad answers after which the time until the rollback counts. */
    private static final int TOLERATED_BAD_ANSWERS = 50;

    /** Time from a final state until all hosts, also one that has just started, must keep to it, in milliseconds. */
    private static final long SETTLING_MILLIS = 200;

    /**
     * Returns the violations.
     *
     * @param oldOutputs outputs of the workers of the service that ran before
     * @param newOutputs outputs of the workers of the ordered version
     */
    List<String> violations(List<Path> oldOutputs, List<Path> newOutputs) throws IOException {
        List<Long> oldRuns = times(oldOutputs, RUN);
        List<Long> newRuns = times(newOutputs, RUN);
        List<Long> failing = times(newOutputs, FAILING);
        List<String> violations = new ArrayList<>();
        if (completed) {
            addLate(violations, "old", oldRuns, finishedMillis + SETTLING_MILLIS);
        } else {
            addLate(violations, "rolled back", newRuns, finishedMillis + SETTLING_MILLIS);
        }
        if (!failing.isEmpty()) {
            addExposure(violations, oldRuns, newRuns);
            addRollback(violations, newRuns, failing.getLast());
        }
        return violations;
    }

    private static void addLate(List<String> violations, String version, List<Long> runs, long fromMillis) {
        long late = runs.stream().filter(at -> at > fromMillis).count();
        if (late > 0) {
            violations.add(late + " requests at the " + version + " version after the roll-out");
        }
    }

    private void addExposure(List<String> violations, List<Long> oldRuns, List<Long> newRuns) {
        long exposed = countOrdered(newRuns);
        double allowed = EXPOSURE_SHARE * (exposed + countOrdered(oldRuns)) + EXPOSURE_SLACK;
        if (exposed > allowed) {
            violations.add(exposed + " requests at a bad version, allowed " + allowed);
        }
    }

    private long countOrdered(List<Long> runs) {
        return runs.stream()
                .filter(at -> at >= orderedMillis && at <= deadlineMillis)
                .count();
    }

    private static void addRollback(List<String> violations, List<Long> newRuns, long failingMillis) {
        List<Long> bad =
                newRuns.stream().filter(at -> at >= failingMillis).sorted().toList();
        if (bad.size() < TOLERATED_BAD_ANSWERS) {
            return;
        }
        long lateMillis = bad.getLast() - bad.get(TOLERATED_BAD_ANSWERS - 1);
        if (lateMillis > ROLLBACK_MILLIS) {
            violations.add("a request at a bad version " + lateMillis + " ms after its 50th bad answer");
        }
    }

    private static List<Long> times(List<Path> outputs, Pattern pattern) throws IOException {
        List<Long> times = new ArrayList<>();
        for (Path output : outputs) {
            for (String line : Files.readAllLines(output)) {
                Matcher matcher = pattern.matcher(line);
                if (matcher.matches()) {
                    times.add(Long.parseLong(matcher.group(1)));
                }
            }
        }
        return times;
    }
}
