package org.amaranthlock.coordination.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.amaranthlock.model.SoftwareVersion;

/**
 * State of one order at one host, with the outcomes of the host's own requests since it received the order. Not
 * thread-safe.
 */
final class ActiveRollout {
    /** Maximum number of requests that the new version can be owed; a larger credit would be spent in a burst. */
    private static final double MAX_CREDIT = 1.5;

    private final RolloutOrder order;

    /** Requests of other versions that have run since before the host heard of the order, by route. */
    private final Map<String, Integer> earlierRequests;

    private final Map<String, Counts> oldCounts = new HashMap<>();
    private final Map<String, Counts> newCounts = new HashMap<>();
    private Optional<RolloutGrant> grant = Optional.empty();
    private Optional<RolloutStep> finalStep = Optional.empty();
    private long grantedAtMillis;
    private final long receivedAtMillis;
    private boolean listed;

    /** Requests that the new version is owed; if at least 1, the next request goes to it. */
    private double credit;

    private static final class Counts {
        private long sent;
        private long ended;
        private long answered;
        private long failures;
        private DurationBuckets durations = DurationBuckets.EMPTY;

        private RouteOutcomes outcomes(String route, boolean newVersion) {
            return new RouteOutcomes(route, newVersion, sent, ended, answered, failures, durations);
        }
    }

    ActiveRollout(RolloutOrder order, Map<String, Integer> earlierRequests, double credit, long receivedAtMillis) {
        this.order = order;
        this.earlierRequests = new HashMap<>(earlierRequests);
        this.receivedAtMillis = receivedAtMillis;
        this.credit = credit;
    }

    RolloutOrder order() {
        return order;
    }

    /** Records that the order was among those in the store. */
    void markListed() {
        listed = true;
    }

    /** Returns whether a read whose result does not contain the order proves that the order was removed. */
    boolean isRemovedBy(long readSentMillis) {
        return listed || receivedAtMillis < readSentMillis;
    }

    Optional<String> holder() {
        return grant.map(RolloutGrant::holder);
    }

    void apply(RolloutGrant newGrant, long nowMillis) {
        if (finalStep.isPresent()
                || grant.filter(known -> known.epoch() > newGrant.epoch()).isPresent()) {
            return;
        }
        // A rollback is never undone: a controller may fail after it has sent the rollback and before it has stored it.
        grant = Optional.of(step() == RolloutStep.ROLLED_BACK ? refusal(newGrant) : newGrant);
        grantedAtMillis = nowMillis;
    }

    private static RolloutGrant refusal(RolloutGrant grant) {
        return new RolloutGrant(grant.order(), grant.holder(), grant.epoch(), RolloutStep.ROLLED_BACK, 0, 0);
    }

    void finish(RolloutStep step) {
        if (step.isFinal()) {
            finalStep = Optional.of(step);
        }
    }

    boolean isNew(SoftwareVersion version) {
        return order.version().equals(version);
    }

    /** Returns the last known step; a rollback stays in force when its grant expires. */
    RolloutStep step() {
        return finalStep.or(() -> grant.map(RolloutGrant::step)).orElse(RolloutStep.JUDGING);
    }

    double targetShare() {
        return finalStep.isPresent() ? 1 : grant.map(RolloutGrant::targetShare).orElse(0.0);
    }

    boolean isTurnOfNew(long nowMillis) {
        double share = share(nowMillis);
        return share >= 1 || (share > 0 && credit >= 1);
    }

    void recordSent(String route, boolean newVersion) {
        counts(route, newVersion).sent++;
        double granted =
                finalStep.isPresent() ? 0 : grant.map(RolloutGrant::share).orElse(0.0);
        credit = Math.min(MAX_CREDIT, credit + granted) - (newVersion ? 1 : 0);
    }

    void recordEnded(String route, boolean newVersion) {
        if (!newVersion && earlierRequests.containsKey(route)) {
            earlierRequests.computeIfPresent(route, (_, running) -> running > 1 ? running - 1 : null);
        } else {
            counts(route, newVersion).ended++;
        }
    }

    void recordAnswered(String route, boolean newVersion, long durationMillis, boolean warm) {
        Counts counts = counts(route, newVersion);
        counts.answered++;
        if (warm) {
            counts.durations = counts.durations.plus(durationMillis);
        }
    }

    void recordFailed(String route, boolean newVersion) {
        counts(route, newVersion).failures++;
    }

    RolloutEvidence evidence(String host, long incarnation, long nowMillis) {
        List<RouteOutcomes> outcomes = Stream.concat(
                        oldCounts.entrySet().stream().map(old -> old.getValue().outcomes(old.getKey(), false)),
                        newCounts.entrySet().stream()
                                .map(added -> added.getValue().outcomes(added.getKey(), true)))
                .toList();
        // The counts say nothing of earlier requests, so that the last step is applied only once they have ended.
        boolean drainsEarlier = step() == RolloutStep.ALL && !earlierRequests.isEmpty();
        RolloutStep applied = isExpired(nowMillis) || drainsEarlier ? RolloutStep.JUDGING : step();
        return new RolloutEvidence(host, incarnation, order.service(), order.id(), applied, outcomes);
    }

    private double share(long nowMillis) {
        if (finalStep.isPresent()) {
            return finalStep.get().share(0);
        }
        return isExpired(nowMillis) ? 0 : grant.map(RolloutGrant::share).orElse(0.0);
    }

    private boolean isExpired(long nowMillis) {
        return nowMillis - grantedAtMillis > RolloutGrant.VALIDITY_MILLIS;
    }

    private Counts counts(String route, boolean newVersion) {
        return (newVersion ? newCounts : oldCounts).computeIfAbsent(route, _ -> new Counts());
    }
}
