package org.amaranthlock.coordination.rollout;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.Arguments;

/**
 * Carries out one order while this host holds its lease, and takes the lease over if its holder fails.
 *
 * <p>Lease and progress are one stored object, which is written conditionally on its revision: a write of a replaced
 * holder conflicts, and that host steps down. A step other than a rollback takes effect only once it is stored. A
 * holder is replaced if no grant is received from it and the stored object is unchanged for {@link #TAKEOVER_MILLIS};
 * so neither a host without connection to the other hosts nor one without connection to the store replaces a working
 * holder. Not thread-safe.
 */
public final class RolloutController {
    /**
     * Interval of grants, in milliseconds; a grant is valid for four of them, so that single lost messages do no harm.
     */
    public static final long GRANT_INTERVAL_MILLIS = 500;

    /** Time without a grant after which another host reads the stored progress, in milliseconds. */
    private static final long GRANT_SILENCE_MILLIS = 1_100;

    /**
     * Time without a change of the stored progress after which a holder that sends no grants is replaced, in
     * milliseconds.
     */
    private static final long TAKEOVER_MILLIS = 2_600;

    /** Interval of the lease renewals, in milliseconds; shorter than {@link #TAKEOVER_MILLIS}. */
    private static final long RENEWAL_MILLIS = 2_000;

    /** Time without a successful write after which a holder steps down, in milliseconds. */
    private static final long LEASE_MILLIS = 10_000;

    /** Delay of a retry after a failed call or a conflict, in milliseconds. */
    private static final long RETRY_MILLIS = 400;

    /**
     * Interval of the reads by a host that waits for the lease, in milliseconds; {@link #TAKEOVER_MILLIS} spans two,
     * which show that the object is unchanged.
     */
    private static final long READ_MILLIS = 1_300;

    /**
     * Time for which grants announce the final step, in milliseconds; hosts that miss them read it from the order's
     * status.
     */
    private static final long ANNOUNCEMENT_MILLIS = 5_000;

    private final String host;
    private final RolloutOrder order;
    private final RolloutPlan plan;
    private final RolloutPort port;
    private final RolloutJudge judge = new RolloutJudge();
    private final long firstSeenMillis;

    private Optional<Stored> stored = Optional.empty();
    private boolean holding;
    private boolean callPending;
    private boolean statusPending;
    private Optional<RolloutStep> statusWritten = Optional.empty();
    private Optional<RolloutStep> decided = Optional.empty();
    private long nextCallMillis;
    private long nextStatusMillis;
    private long nextGrantMillis;
    private long storedAtMillis;
    private long unchangedSinceMillis;
    private long stepSinceMillis;
    private long holdingSinceMillis;
    private long grantReceivedAtMillis = Long.MIN_VALUE / 2; // half, so that the age does not overflow
    private long finishedMillis = -1;
    private int newTargets;

    /** Epoch of this host's last attempt to acquire the lease; 0 if none is pending. */
    private long expectedEpoch;

    /** Whether the next write must be preceded by a read, because a failed call may have been executed. */
    private boolean mustReadFirst;

    private record Stored(RolloutProgress progress, long revision, long atMillis) {}

    /**
     * Creates a controller of an order that this host has just received.
     *
     * @param delayMillis time before this host tries to acquire the lease, in milliseconds; differs between hosts to
     *     avoid conflicts
     */
    public RolloutController(
            String host,
            RolloutOrder order,
            ExposureBounds bounds,
            RolloutPort port,
            long delayMillis,
            long nowMillis) {
        this.host = Arguments.requireText(host, "host");
        this.order = Objects.requireNonNull(order, "order");
        this.plan = new RolloutPlan(order, Objects.requireNonNull(bounds, "bounds"));
        this.port = Objects.requireNonNull(port, "port");
        this.firstSeenMillis = nowMillis;
        this.nextCallMillis = nowMillis + delayMillis;
    }

    /** Returns the order that this controller carries out. */
    public RolloutOrder order() {
        return order;
    }

    /** Returns the step that is stored. */
    public RolloutStep currentStep() {
        return step();
    }

    /** Returns whether this host holds the lease. */
    public boolean isHolding() {
        return holding;
    }

    /**
     * Returns whether the final step is stored and has been announced for long enough, so that the controller can be
     * discarded.
     */
    public boolean isFinished(long nowMillis) {
        return finishedMillis >= 0 && nowMillis - finishedMillis > ANNOUNCEMENT_MILLIS;
    }

    /** Handles the number of targets of the new version that take requests. */
    public void onTargets(int registeredOfNewVersion) {
        newTargets = registeredOfNewVersion;
    }

    /** Handles evidence of a host, this one included. */
    public void onEvidence(RolloutEvidence evidence, long nowMillis) {
        if (evidence.orderId().equals(order.id())) {
            judge.add(evidence, nowMillis);
        }
    }

    /** Handles a grant of another host. */
    public void onGrant(RolloutGrant grant, long nowMillis) {
        if (!grant.order().id().equals(order.id()) || grant.holder().equals(host)) {
            return;
        }
        long ownEpoch = stored.map(known -> known.progress().epoch()).orElse(0L);
        if (holding && grant.epoch() <= ownEpoch) {
            return; // from a former holder that does not yet know that it was replaced
        }
        grantReceivedAtMillis = nowMillis;
        if (holding) {
            stepDown("replaced", nowMillis);
        }
    }

    /** Handles the stored progress, read or written. */
    public void onProgress(RolloutProgress progress, long revision, long nowMillis) {
        callPending = false;
        boolean unchanged = stored.isPresent() && stored.get().revision() == revision;
        boolean written = progress.holder().equals(host) && isOwnEpoch(progress);
        if (!unchanged) {
            unchangedSinceMillis = nowMillis;
        }
        RolloutStep before = step();
        boolean sameOrder = progress.orderId().equals(order.id());
        stored = Optional.of(new Stored(progress, revision, nowMillis));
        if (holding && !written) {
            stepDown("replaced", nowMillis);
        } else if (written && sameOrder) {
            if (!holding) {
                holding = true;
                holdingSinceMillis = nowMillis;
                stepSinceMillis = nowMillis;
                nextCallMillis = nowMillis; // the delay between two reads does not hold up its writes
                port.onDecision(order, "lease-taken", progress.step(), progress.epoch(), judge);
            }
            storedAtMillis = nowMillis;
            if (before != progress.step()) {
                stepSinceMillis = nowMillis;
                nextGrantMillis = nowMillis;
                port.onDecision(order, "step", progress.step(), progress.epoch(), judge);
            }
            decided = decided.filter(step -> step != progress.step());
        } else if (!holding) {
            considerTakeover(progress, sameOrder, nowMillis);
        }
    }

    /** Handles that no progress is stored. */
    public void onProgressMissing(long nowMillis) {
        callPending = false;
        stored = Optional.empty();
        if (holding) {
            stepDown("progress-removed", nowMillis);
        } else if (!isHolderAlive(nowMillis)) {
            callPending = true;
            expectedEpoch = 1;
            port.createProgress(
                    order, new RolloutProgress(order.id(), RolloutStep.JUDGING, host, 1, 0, elapsed(nowMillis)));
        }
    }

    /** Handles a conflict: another host has changed the progress first. */
    public void onConflict(long nowMillis) {
        callPending = false;
        expectedEpoch = 0;
        if (holding) {
            stepDown("conflict", nowMillis);
        }
        nextCallMillis = nowMillis + RETRY_MILLIS;
    }

    /** Handles a failed call on the progress; the store may nevertheless have executed it, or may do so later. */
    public void onCallFailed(long nowMillis) {
        callPending = false;
        mustReadFirst = true;
        nextCallMillis = nowMillis + RETRY_MILLIS;
    }

    /** Handles the result of a write of the status. */
    public void onStatusWritten(boolean successful, RolloutStep written, long nowMillis) {
        statusPending = false;
        if (successful) {
            statusWritten = Optional.of(written);
        }
        nextStatusMillis = nowMillis + RETRY_MILLIS;
    }

    /** Handles the timer, which is to run several times within {@link #GRANT_INTERVAL_MILLIS}. */
    public void onTimer(long nowMillis) {
        if (!holding) {
            seekLease(nowMillis);
            return;
        }
        if (!step().isFinal() && nowMillis - storedAtMillis > LEASE_MILLIS) {
            stepDown("lease-expired", nowMillis);
            return;
        }
        decide(nowMillis);
        saveProgress(nowMillis);
        saveStatus(nowMillis);
        if (nowMillis >= nextGrantMillis) {
            nextGrantMillis = nowMillis + GRANT_INTERVAL_MILLIS;
            port.broadcast(grant(nowMillis));
        }
    }

    private void seekLease(long nowMillis) {
        if (callPending || nowMillis < nextCallMillis || isHolderAlive(nowMillis)) {
            return;
        }
        callPending = true;
        nextCallMillis = nowMillis + READ_MILLIS;
        port.readProgress(order);
    }

    private void considerTakeover(RolloutProgress progress, boolean sameOrder, long nowMillis) {
        boolean silent = !isHolderAlive(nowMillis);
        boolean expired = nowMillis - unchangedSinceMillis >= TAKEOVER_MILLIS;
        if (silent && (!sameOrder || progress.holder().equals(host) || expired)) {
            RolloutStep step = sameOrder ? progress.step() : RolloutStep.JUDGING;
            callPending = true;
            expectedEpoch = progress.epoch() + 1;
            RolloutProgress taken = new RolloutProgress(order.id(), step, host, expectedEpoch, 0, elapsed(nowMillis));
            port.replaceProgress(order, taken, stored.orElseThrow().revision());
        }
    }

    private void decide(long nowMillis) {
        RolloutStep current = step();
        if (current.isFinal() || decided.equals(Optional.of(RolloutStep.ROLLED_BACK))) {
            return;
        }
        if (judge.verdict() == Verdict.BAD) {
            decided = Optional.of(RolloutStep.ROLLED_BACK);
            nextGrantMillis = nowMillis; // a rollback is announced before it is stored, as it is safe in any case
            port.onDecision(order, "verdict-bad", RolloutStep.ROLLED_BACK, epoch(), judge);
        } else if (decided.isEmpty()) {
            decided = plan.nextStep(
                    current, elapsed(nowMillis), nowMillis - stepSinceMillis, judge, newTargets, nowMillis);
        }
    }

    private void saveProgress(long nowMillis) {
        boolean due = decided.isPresent() || (!step().isFinal() && nowMillis - storedAtMillis >= RENEWAL_MILLIS);
        if (callPending || nowMillis < nextCallMillis || !due) {
            return;
        }
        callPending = true;
        if (mustReadFirst) {
            mustReadFirst = false;
            port.readProgress(order);
            return;
        }
        RolloutProgress last = stored.orElseThrow().progress();
        RolloutProgress next = new RolloutProgress(
                order.id(), decided.orElse(last.step()), host, last.epoch(), last.renewals() + 1, elapsed(nowMillis));
        port.replaceProgress(order, next, stored.get().revision());
    }

    private void saveStatus(long nowMillis) {
        RolloutStep wanted = step().isFinal() ? step() : RolloutStep.JUDGING;
        if (statusWritten.equals(Optional.of(wanted))) {
            if (wanted.isFinal() && finishedMillis < 0) {
                finishedMillis = nowMillis;
            }
        } else if (!statusPending && nowMillis >= nextStatusMillis) {
            statusPending = true;
            port.writeStatus(order, wanted);
        }
    }

    private RolloutGrant grant(long nowMillis) {
        boolean rollingBack = decided.equals(Optional.of(RolloutStep.ROLLED_BACK));
        RolloutStep step = rollingBack ? RolloutStep.ROLLED_BACK : step();
        double share = plan.share(step, elapsed(nowMillis), nowMillis - holdingSinceMillis, judge);
        return new RolloutGrant(order, host, epoch(), step, share, share);
    }

    private void stepDown(String reason, long nowMillis) {
        holding = false;
        expectedEpoch = 0;
        decided = Optional.empty();
        nextCallMillis = nowMillis + RETRY_MILLIS;
        unchangedSinceMillis = nowMillis;
        port.onDecision(order, reason, step(), epoch(), judge);
    }

    private boolean isOwnEpoch(RolloutProgress progress) {
        return holding ? progress.epoch() == epoch() : expectedEpoch > 0 && progress.epoch() == expectedEpoch;
    }

    private boolean isHolderAlive(long nowMillis) {
        return nowMillis - grantReceivedAtMillis < GRANT_SILENCE_MILLIS;
    }

    private RolloutStep step() {
        return stored.map(Stored::progress)
                .filter(progress -> progress.orderId().equals(order.id()))
                .map(RolloutProgress::step)
                .orElse(RolloutStep.JUDGING);
    }

    private long epoch() {
        return stored.map(known -> known.progress().epoch()).orElse(0L);
    }

    /** Returns the time since the order was first seen by this host or by an earlier holder, in milliseconds. */
    private long elapsed(long nowMillis) {
        long own = nowMillis - firstSeenMillis;
        return stored.filter(known -> known.progress().orderId().equals(order.id()))
                .map(known -> Math.max(own, known.progress().elapsedMillis() + nowMillis - known.atMillis()))
                .orElse(own);
    }
}
