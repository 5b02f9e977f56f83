package org.amaranthlock.coordination.rollout;

import java.util.Objects;
import java.util.Optional;

/**
 * Decides when a roll-out goes on to its next step.
 *
 * <p>A version may become bad late. It is therefore judged at a small share for more than half of the duration, and the
 * later steps are short. A step begins earlier if the version is known to be good and the exposure bound would hold
 * even if the version became bad in that step; it begins later if the version is doubtful, and the last one is replaced
 * by a rollback if it still is.
 *
 * <p>Load pattern of the raised share: a service with so few requests that the usual share of them is too few for a
 * verdict, or not even one request.
 */
final class RolloutPlan {
    /** Fraction of the duration after which all new requests go to the new version; earlier steps scale with it. */
    private static final double ALL_AT = 0.75;

    /** Lower limit of {@link #ALL_AT}, for services whose long requests need more time to drain. */
    private static final double EARLIEST_ALL_AT = 0.45;

    /**
     * Time to drain the old version, in mean durations of its requests; its targets stop at the end of the roll-out.
     */
    private static final double DRAIN_STAYS = 2;

    /** Fraction of the duration at which {@link RolloutStep#JUDGING} ends. */
    private static final double JUDGING_END = 0.55;
    /** Fraction of the duration that each of the steps up to {@link RolloutStep#ALL} takes. */
    private static final double STEP_DURATION = 0.1;

    /** Fraction of the duration by which evidence brings a step forward or delays it. */
    private static final double LEEWAY = 0.06;

    /** Fraction of the duration reserved for the last writes, since hosts see an order later than it is written. */
    private static final double LAST_WRITES = 0.05;

    /** Minimum time reserved for the last writes, in milliseconds; covers a reopened watch and one retry of a call. */
    private static final double MIN_LAST_WRITES_MILLIS = 1_200;

    /** Minimum duration of a step, in milliseconds, so that it yields evidence; less for short orders. */
    private static final long MIN_STEP_MILLIS = 1_000;

    /** Minimum duration of {@link RolloutStep#ALL}, in milliseconds, until all hosts have received that step. */
    private static final long MIN_DRAIN_MILLIS = 600;

    /** Time from the first failure of a version until hosts send it no more requests, in milliseconds. */
    private static final long REACTION_MILLIS = 2_000;

    /** Number of requests at the new version that are enough to detect a broken one; the share is raised to reach it. */
    private static final double WANTED_REQUESTS = 20;

    /** Upper limit of a raised share, once the new version has received a request. */
    private static final double MAX_RAISED_SHARE = 0.5;

    /** Time for which a controller holds the lease until it knows the rate of requests, in milliseconds. */
    private static final long RATE_KNOWN_MILLIS = 2 * RolloutController.GRANT_INTERVAL_MILLIS;

    private final RolloutOrder order;
    private final ExposureBounds bounds;
    private final double end;

    RolloutPlan(RolloutOrder order, ExposureBounds bounds) {
        this.order = Objects.requireNonNull(order, "order");
        this.bounds = Objects.requireNonNull(bounds, "bounds");
        this.end = 1 - Math.min(0.25, Math.max(LAST_WRITES, MIN_LAST_WRITES_MILLIS / order.durationMillis()));
    }

    /** Returns the share of new requests that go to the new version in a step, if there are enough of them. */
    double share(RolloutStep step) {
        return step.share(bounds.judgingShare());
    }

    /**
     * Returns the share of new requests that go to the new version in a step. It is raised for a service with few
     * requests as long as the exposure bound would hold even if all of the new version's requests failed.
     *
     * @param holdingMillis time for which the controller has held the lease
     */
    double share(RolloutStep step, long elapsedMillis, long holdingMillis, RolloutJudge judge) {
        double usual = share(step);
        if (step.isFinal() || step == RolloutStep.ALL || holdingMillis < RATE_KNOWN_MILLIS) {
            return usual;
        }
        double limit = judge.sentToNew() == 0 ? 1 : MAX_RAISED_SHARE;
        double expected = judge.sent() / (double) Math.max(1, elapsedMillis) * remainingMillis(elapsedMillis);
        double raised = Math.min(limit, WANTED_REQUESTS / Math.max(1, expected));
        boolean isWanted = judge.sentToNew() < WANTED_REQUESTS;
        return isWanted && raised > usual && isBearable(raised, elapsedMillis, judge) ? raised : usual;
    }

    /** Returns the time until the end of {@link RolloutStep#JUDGING}, but at least that of a step. */
    private double remainingMillis(long elapsedMillis) {
        return Math.max(STEP_DURATION * order.durationMillis(), JUDGING_END * order.durationMillis() - elapsedMillis);
    }

    /** Returns the next step if it is due; the version is not known to be bad. */
    Optional<RolloutStep> nextStep(
            RolloutStep current,
            long elapsedMillis,
            long stepMillis,
            RolloutJudge judge,
            int newTargets,
            long nowMillis) {
        double elapsed = elapsedMillis / (double) order.durationMillis();
        boolean isTried = newTargets > 0 && (judge.outcomes() > 0 || judge.sentToNew() == 0);
        if (current.isFinal()) {
            return Optional.empty();
        }
        if (current == RolloutStep.ALL) {
            boolean told = stepMillis >= MIN_DRAIN_MILLIS;
            return told && (judge.isOldVersionIdle(nowMillis) || elapsed >= end)
                    ? Optional.of(RolloutStep.COMPLETED)
                    : Optional.empty();
        }
        if (!isTried) {
            return elapsed >= end ? Optional.of(RolloutStep.ROLLED_BACK) : Optional.empty();
        }
        RolloutStep next = RolloutStep.values()[current.ordinal() + 1];
        double planned = JUDGING_END + STEP_DURATION * current.ordinal();
        double pace = allAt(judge, elapsedMillis, nowMillis) / ALL_AT;
        boolean isLongEnough = stepMillis >= Math.min(MIN_STEP_MILLIS, STEP_DURATION / 2 * order.durationMillis());
        boolean isDue = isLongEnough && elapsed >= pace * planned + leeway(next, elapsedMillis, judge);
        if (!isDue) {
            return Optional.empty();
        }
        boolean isRefused = next == RolloutStep.ALL && judge.isDoubtful();
        return Optional.of(isRefused ? RolloutStep.ROLLED_BACK : next);
    }

    private double allAt(RolloutJudge judge, long elapsedMillis, long nowMillis) {
        double drain = DRAIN_STAYS * judge.oldVersionStayMillis(elapsedMillis, nowMillis) / order.durationMillis();
        return Math.clamp(end - drain, EARLIEST_ALL_AT, ALL_AT);
    }

    private double leeway(RolloutStep next, long elapsedMillis, RolloutJudge judge) {
        if (judge.isDoubtful()) {
            return LEEWAY;
        }
        return judge.verdict() == Verdict.GOOD && isBearable(share(next), elapsedMillis, judge) ? -LEEWAY : 0;
    }

    /** Returns whether the exposure bound holds if the version becomes bad while it receives the given share. */
    private boolean isBearable(double share, long elapsedMillis, RolloutJudge judge) {
        double untilVerdict = judge.sent() * (double) REACTION_MILLIS / Math.max(1, elapsedMillis);
        return bounds.allows(judge.sentToNew() + share * untilVerdict, judge.sent() + untilVerdict);
    }
}
