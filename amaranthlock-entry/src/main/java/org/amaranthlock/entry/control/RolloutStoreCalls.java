package org.amaranthlock.entry.control;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.rollout.RolloutController;
import org.amaranthlock.coordination.rollout.RolloutGrant;
import org.amaranthlock.coordination.rollout.RolloutJudge;
import org.amaranthlock.coordination.rollout.RolloutOrder;
import org.amaranthlock.coordination.rollout.RolloutPort;
import org.amaranthlock.coordination.rollout.RolloutProgress;
import org.amaranthlock.coordination.rollout.RolloutStep;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.platform.ConditionalPlatformStore;
import org.amaranthlock.platform.RolloutCodec;
import org.amaranthlock.platform.StoreReply;

/** {@link RolloutPort} that calls the store, and logs and counts the decisions of roll-out controllers. */
final class RolloutStoreCalls implements RolloutPort {
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final ConditionalPlatformStore store;
    private final Function<RolloutOrder, RolloutController> controllers;
    private final Consumer<RolloutGrant> broadcaster;
    private final LongSupplier clockMillis;
    private final DecisionLog log;
    private final EntryMetrics metrics;

    /**
     * Creates calls.
     *
     * @param controllers returns the controller of an order, to which results are passed; null if it no longer exists
     */
    RolloutStoreCalls(
            ConditionalPlatformStore store,
            Function<RolloutOrder, RolloutController> controllers,
            Consumer<RolloutGrant> broadcaster,
            LongSupplier clockMillis,
            DecisionLog log,
            EntryMetrics metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.controllers = Objects.requireNonNull(controllers, "controllers");
        this.broadcaster = Objects.requireNonNull(broadcaster, "broadcaster");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void readProgress(RolloutOrder order) {
        store.read(
                RolloutCodec.PROGRESS_KIND,
                order.service().value(),
                CALL_TIMEOUT_MILLIS,
                reply -> onProgressReply("rollout-read", order, reply));
    }

    @Override
    public void createProgress(RolloutOrder order, RolloutProgress progress) {
        store.create(
                RolloutCodec.PROGRESS_KIND,
                order.service().value(),
                RolloutCodec.encodeProgress(progress),
                CALL_TIMEOUT_MILLIS,
                reply -> onProgressReply("rollout-write", order, reply));
    }

    @Override
    public void replaceProgress(RolloutOrder order, RolloutProgress progress, long revision) {
        store.replace(
                RolloutCodec.PROGRESS_KIND,
                order.service().value(),
                RolloutCodec.encodeProgress(progress),
                revision,
                CALL_TIMEOUT_MILLIS,
                reply -> onProgressReply("rollout-write", order, reply));
    }

    @Override
    public void writeStatus(RolloutOrder order, RolloutStep step) {
        store.writeStatus(
                RolloutCodec.ORDER_KIND,
                order.service().value(),
                RolloutCodec.encodeStatus(order, step),
                CALL_TIMEOUT_MILLIS,
                reply -> {
                    metrics.recordStoreCall("rollout-status", reply.getClass().getSimpleName());
                    boolean written = reply instanceof StoreReply.Found;
                    log.write("rollout-status", "service", order.service(), "step", step.key(), "written", written);
                    RolloutController controller = controllers.apply(order);
                    if (controller != null) {
                        controller.onStatusWritten(written, step, clockMillis.getAsLong());
                    }
                });
    }

    @Override
    public void broadcast(RolloutGrant grant) {
        broadcaster.accept(grant);
    }

    @Override
    public void onDecision(RolloutOrder order, String decision, RolloutStep step, long epoch, RolloutJudge judge) {
        metrics.recordRolloutDecision(decision);
        metrics.updateRollout(order.service().value(), step.ordinal(), judge.sent(), judge.sentToNew());
        log.write(
                "rollout-" + decision,
                "service",
                order.service(),
                "to",
                order.version(),
                "step",
                step.key(),
                "epoch",
                epoch,
                "requests",
                judge.sent(),
                "to_new",
                judge.sentToNew(),
                "outcomes",
                judge.outcomes(),
                "failures",
                judge.failures(),
                "slow",
                judge.slow(),
                "worse_on",
                judge.badRoutes());
    }

    private void onProgressReply(String call, RolloutOrder order, StoreReply reply) {
        metrics.recordStoreCall(call, reply.getClass().getSimpleName());
        RolloutController controller = controllers.apply(order);
        if (controller == null) {
            return;
        }
        long now = clockMillis.getAsLong();
        switch (reply) {
            case StoreReply.Found found -> {
                Optional<RolloutProgress> progress = RolloutCodec.decodeProgress(found.object());
                if (progress.isPresent()) {
                    controller.onProgress(progress.get(), found.object().revision(), now);
                } else {
                    log.write(
                            "rollout-progress-unreadable",
                            "service",
                            order.service(),
                            "remedy",
                            "delete this object of kind " + RolloutCodec.PROGRESS_KIND);
                    controller.onCallFailed(now);
                }
            }
            case StoreReply.Missing _ -> controller.onProgressMissing(now);
            case StoreReply.Conflict _ -> controller.onConflict(now);
            default -> {
                log.write("rollout-call-failed", "service", order.service(), "call", call, "reply", reply);
                controller.onCallFailed(now);
            }
        }
    }
}
