package org.amaranthlock.coordination.estimate;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/**
 * Time that targets take for requests, relative to their peers of the same service at the same time.
 *
 * <p>Load pattern: targets differ in speed, both permanently and for some hundred milliseconds. The mean over a long
 * window gives the permanent difference. A few answers in the short window suffice to correct it and lose their weight
 * as quickly, so that a target that was slow is used again without a probe. One answer shifts an estimate only in part
 * and never excludes a target. Times are parameters. Not thread-safe.
 */
public final class TargetSpeeds {
    /** Time constant of the short window, in milliseconds. */
    private static final double SHORT_MILLIS = 1_000;

    /** Time constant of the long window, in milliseconds. */
    private static final double LONG_MILLIS = 20_000;

    /** Weight of the prior that nothing has changed, in answers. */
    private static final double PRIOR_ANSWERS = 4;

    /** Lower bound of a single answer's ratio; a lower one is due to a cache rather than to the target's speed. */
    private static final double MIN_RATIO = 0.2;

    /**
     * Upper bound of a single answer's ratio; a higher one is due to a lost packet rather than to the target's speed.
     */
    private static final double MAX_RATIO = 5;

    /** Weight of a wait for a first event that is longer than those before. */
    private static final double LONGER_WAIT_WEIGHT = 0.2;

    /** Minimum difference of a target's ratio from 1 with which it is reported. */
    private static final double REPORTED_DIFFERENCE = 0.2;

    private final Map<ServiceName, DecayingMean> services = new HashMap<>();
    private final Map<TargetId, Windows> targets = new HashMap<>();
    private final Map<String, Map<TargetId, TargetSpeed>> remote = new HashMap<>();
    private final Map<TargetId, Evidence> remoteSums = new HashMap<>();

    /** Sums of reports, whose values are rounded to binary fractions, so that subtracting one leaves no error. */
    private record Evidence(double ratioSum, double answers) {
        static Evidence of(TargetSpeed speed) {
            return new Evidence(speed.ratioSum(), speed.answers());
        }

        Evidence plus(Evidence other) {
            return new Evidence(ratioSum + other.ratioSum, answers + other.answers);
        }

        /** Returns the rest; null if no half of an answer is left, as reports are rounded. */
        Evidence minus(Evidence other) {
            Evidence rest = new Evidence(ratioSum - other.ratioSum, answers - other.answers);
            return rest.answers < 0.5 || rest.ratioSum <= 0 ? null : rest;
        }

        TargetSpeed speed() {
            return answers == 0 ? TargetSpeed.UNKNOWN : new TargetSpeed(ratioSum / answers, answers);
        }
    }

    private static final class Windows {
        private final DecayingMean shortWindow = new DecayingMean(SHORT_MILLIS);
        private final DecayingMean longWindow = new DecayingMean(LONG_MILLIS);
        private double fastest = Double.MAX_VALUE;

        /**
         * Returns the wait without the queue of unknown length that it includes: a shorter wait than before replaces
         * the estimate, longer ones raise it gradually.
         */
        double withoutQueue(double wait) {
            fastest = wait < fastest ? wait : fastest + LONGER_WAIT_WEIGHT * (wait - fastest);
            return fastest;
        }
    }

    /**
     * Records how long a target took to answer a request, or an engine to send the first event of a stream.
     *
     * @param units size of the request and of the requests known to be ahead of it, in any unit
     */
    public void record(ServiceName service, TargetId target, double millis, double units, long nowMillis) {
        Arguments.require(units > 0, "units must be positive");
        Windows windows = targets.computeIfAbsent(target, _ -> new Windows());
        double busyMillis = windows.withoutQueue(Math.max(1, millis) / units);
        DecayingMean peers = services.computeIfAbsent(service, _ -> new DecayingMean(LONG_MILLIS));
        if (!peers.isEmpty()) {
            double ratio = Math.clamp(busyMillis / peers.mean(), MIN_RATIO, MAX_RATIO);
            windows.shortWindow.add(ratio, nowMillis);
            windows.longWindow.add(ratio, nowMillis);
        }
        peers.add(busyMillis, nowMillis);
    }

    /** Returns the time that a typical target of a service takes for a unit, in milliseconds; NaN if none is known. */
    public double typicalMillis(ServiceName service) {
        DecayingMean peers = services.get(service);
        return peers == null ? Double.NaN : peers.mean();
    }

    /** Returns the time that a target takes, as a multiple of the time of its peers. */
    public double slowness(TargetId target, long nowMillis) {
        return slowness(target, remoteSpeed(target), nowMillis);
    }

    /** Like {@link #slowness(TargetId, long)}, with the given speed as reported by all other hosts. */
    public double slowness(TargetId target, TargetSpeed others, long nowMillis) {
        TargetSpeed own = steady(target, nowMillis);
        double steady = (PRIOR_ANSWERS + own.ratioSum() + others.ratioSum())
                / (PRIOR_ANSWERS + own.answers() + others.answers());
        if (own.answers() == 0) {
            return steady;
        }
        DecayingMean recent = targets.get(target).shortWindow;
        double answers = recent.weight(nowMillis);
        return (PRIOR_ANSWERS * steady + answers * recent.mean()) / (PRIOR_ANSWERS + answers);
    }

    /** Returns the speed of a target that this host has observed in the long window. */
    public TargetSpeed steady(TargetId target, long nowMillis) {
        Windows own = targets.get(target);
        return own == null || own.longWindow.isEmpty()
                ? TargetSpeed.UNKNOWN
                : new TargetSpeed(own.longWindow.mean(), own.longWindow.weight(nowMillis));
    }

    /**
     *      * Returns the speeds to report to the other hosts: of targets that differ from their peers, and of those that differ
     * in the sum of the other hosts' reports. Without the latter, a few outliers at one host would outweigh the answers of
     * all others. The sum decides, because hosts would otherwise report a target only because others still do.
     */
    public Map<TargetId, TargetSpeed> report(long nowMillis) {
        Map<TargetId, TargetSpeed> report = new HashMap<>();
        targets.forEach((id, _) -> {
            TargetSpeed steady = steady(id, nowMillis).rounded();
            boolean differs = Math.abs(steady.ratio() - 1) >= REPORTED_DIFFERENCE
                    || Math.abs(remoteSpeed(id).ratio() - 1) >= REPORTED_DIFFERENCE / 2;
            if (steady.answers() > 0 && differs) {
                report.put(id, steady);
            }
        });
        return report;
    }

    /** Returns the speeds of the targets about which this host has enough answers of its own. */
    public List<TargetSpeed> known(long nowMillis) {
        return targets.keySet().stream()
                .map(id -> steady(id, nowMillis))
                .filter(speed -> speed.answers() >= PRIOR_ANSWERS)
                .toList();
    }

    /** Replaces the report of another host. */
    public void updateRemote(String host, Map<TargetId, TargetSpeed> speeds) {
        if (speeds.equals(remote.getOrDefault(host, Map.of()))) {
            return;
        }
        removeRemote(host);
        if (!speeds.isEmpty()) {
            remote.put(host, Map.copyOf(speeds));
            speeds.forEach((id, speed) -> remoteSums.merge(id, Evidence.of(speed), Evidence::plus));
        }
    }

    /** Removes the report of a host that has become silent. */
    public void removeRemote(String host) {
        Map<TargetId, TargetSpeed> before = remote.remove(host);
        if (before != null) {
            before.forEach((id, speed) -> remoteSums.computeIfPresent(id, (_, sum) -> sum.minus(Evidence.of(speed))));
        }
    }

    /** Removes all targets but those that {@code known} matches. */
    public void retain(Predicate<TargetId> known) {
        targets.keySet().removeIf(known.negate());
    }

    private TargetSpeed remoteSpeed(TargetId target) {
        Evidence sum = remoteSums.get(target);
        return sum == null ? TargetSpeed.UNKNOWN : sum.speed();
    }
}
