package org.amaranthlock.coordination.targetlimit;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Issues permits for limited targets at the rate of the shares that this host has: its own, unless it has lent it, and
 * those that other hosts have lent to it.
 *
 * <p>Part of the rate is set aside for each priority, and each may use what the other one leaves, so that neither
 * orders nor lookups starve behind the other. Not thread-safe.
 */
final class PermitIssuer {
    /** Fraction of a limit that is used; the rest covers requests that arrive closer together than they were sent. */
    private static final double USED_FRACTION = 0.9;

    /** Fraction of the rate that is set aside for requests of high priority. */
    private static final double HIGH_PRIORITY_FRACTION = 0.75;

    /**
     * Rate at which a target is tried that takes no requests at all, in requests per second from all hosts together;
     * only its answer tells that the limit has ended.
     */
    private static final double TRIAL_REQUESTS_PER_SECOND = 0.02;

    /** Time for which a lent share counts after the last report of its owner, in milliseconds. */
    static final long LOAN_MILLIS = 2_000;

    /** Retry delay if the rate at which permits are issued is not known, in milliseconds. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private static final double MAX_RETRY_AFTER_MILLIS = 30_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final KnownLimits limits;
    private final IntSupplier hostCount;
    private final Predicate<ServiceName> ownShareUsable;
    private final UniformRandomProvider random;
    private final Map<String, Loans> loans = new HashMap<>();
    private final Map<TargetId, Buckets> buckets = new HashMap<>();

    /** Shares that a host lends to this one. */
    private record Loans(Set<ServiceName> services, long receivedAtMillis) {}

    /** Permits of one target, and how many requests were denied since permits were last left over. */
    private static final class Buckets {
        private final PermitBucket high;
        private final PermitBucket low;
        private double denied;
        private long advancedAtMillis;

        private Buckets(UniformRandomProvider random, long nowMillis) {
            high = new PermitBucket(random, nowMillis);
            low = new PermitBucket(random, nowMillis);
            advancedAtMillis = nowMillis;
        }

        private double permitsPerSecond() {
            return high.permitsPerSecond() + low.permitsPerSecond();
        }

        private void advance(double permitsPerSecond, long nowMillis) {
            denied = Math.max(0, denied - permitsPerSecond() * (nowMillis - advancedAtMillis) / MILLIS_PER_SECOND);
            advancedAtMillis = nowMillis;
            high.advance(permitsPerSecond * HIGH_PRIORITY_FRACTION, nowMillis);
            low.advance(permitsPerSecond * (1 - HIGH_PRIORITY_FRACTION), nowMillis);
        }

        private boolean take(PermitRequest.Priority priority) {
            return switch (priority) {
                case HIGH -> high.take() || low.takeLeftover();
                case LOW -> low.take() || high.takeLeftover();
            };
        }

        /** Returns when the permits are expected that the requests denied so far, and one more, can use. */
        private double retryAfterMillis() {
            double nextMillis = Math.min(high.millisToNextPermit(), low.millisToNextPermit());
            double waitingMillis = permitsPerSecond() > 0 ? denied / permitsPerSecond() * MILLIS_PER_SECOND : 0;
            return nextMillis + waitingMillis;
        }
    }

    /**
     * Creates an issuer.
     *
     * @param limits limits that this host knows
     * @param hostCount supplies the number of hosts that share the limits, at least one
     * @param ownShareUsable whether this host may use its own share of the limits of a service
     */
    PermitIssuer(
            KnownLimits limits,
            IntSupplier hostCount,
            Predicate<ServiceName> ownShareUsable,
            UniformRandomProvider random) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.hostCount = Objects.requireNonNull(hostCount, "host count");
        this.ownShareUsable = Objects.requireNonNull(ownShareUsable, "own share");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Replaces the services of which another host lends its shares to this one. */
    void updateLoans(String host, Set<ServiceName> services, long nowMillis) {
        loans.put(host, new Loans(Set.copyOf(services), nowMillis));
    }

    /** Issues a permit for the first of the targets that has room. */
    PermitDecision issue(PermitRequest request, long nowMillis) {
        double soonestMillis = Double.MAX_VALUE;
        Optional<Buckets> soonest = Optional.empty();
        double shares = shares(request.service(), nowMillis);
        for (TargetId target : request.targets()) {
            OptionalDouble limit =
                    limits.limit(target).map(KnownLimit::requestsPerSecond).orElse(OptionalDouble.empty());
            if (limit.isEmpty()) {
                continue;
            }
            double rate = Math.max(limit.getAsDouble() * USED_FRACTION, TRIAL_REQUESTS_PER_SECOND) * shares;
            Buckets permits = buckets.computeIfAbsent(target, _ -> new Buckets(random, nowMillis));
            permits.advance(rate, nowMillis);
            if (permits.take(request.priority())) {
                return new PermitDecision.Granted(target);
            }
            if (permits.retryAfterMillis() < soonestMillis) {
                soonestMillis = permits.retryAfterMillis();
                soonest = Optional.of(permits);
            }
        }
        soonest.ifPresent(permits -> permits.denied++);
        return new PermitDecision.Denied(
                soonest.isPresent()
                        ? (long) Math.min(soonestMillis, MAX_RETRY_AFTER_MILLIS)
                        : DEFAULT_RETRY_AFTER_MILLIS);
    }

    /** Forgets the permits of targets that are not limited any more. */
    void retain() {
        buckets.keySet()
                .removeIf(target ->
                        limits.limit(target).filter(KnownLimit::inForce).isEmpty());
    }

    /** Returns the fraction of a service's limits that this host may issue permits for. */
    private double shares(ServiceName service, long nowMillis) {
        loans.values().removeIf(host -> nowMillis - host.receivedAtMillis() > LOAN_MILLIS);
        long lenders = loans.values().stream()
                .filter(host -> host.services().contains(service))
                .count();
        long shares = lenders + (ownShareUsable.test(service) ? 1 : 0);
        return shares / (double) Math.max(hostCount.getAsInt(), lenders + 1);
    }
}
