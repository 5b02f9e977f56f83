package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.rollout.ExposureBounds;
import org.amaranthlock.coordination.rollout.RolloutController;
import org.amaranthlock.coordination.rollout.RolloutEvidence;
import org.amaranthlock.coordination.rollout.RolloutGate;
import org.amaranthlock.coordination.rollout.RolloutGrant;
import org.amaranthlock.coordination.rollout.RolloutOrder;
import org.amaranthlock.coordination.rollout.RolloutStep;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.ConditionalPlatformStore;
import org.amaranthlock.platform.RolloutCodec;
import org.amaranthlock.platform.RolloutCodec.StoredOrder;

/**
 * Carries out orders of roll-outs: passes orders and grants to the gate of this host and the gate's evidence to the
 * controllers. Hosts that read the orders from the store also run a controller for each order. The gate is used on the
 * traffic loop, everything else on the control loop.
 */
public final class RolloutService implements RolloutListener, RolloutWatcher.Listener {
    private static final long TIMER_MILLIS = 100;
    private static final long EVIDENCE_INTERVAL_MILLIS = 500;
    private static final long CALL_TIMEOUT_MILLIS = 800;

    /** Delay of a read, in milliseconds, so that its time of sending is later than the one at which the version was seen. */
    private static final long CONFIRM_DELAY_MILLIS = 5;

    /** Number of time slots in which hosts try to acquire a lease, so that they rarely write at the same time. */
    private static final int CANDIDATE_SLOTS = 8;

    /** Length of such a time slot, in milliseconds. */
    private static final long CANDIDATE_SLOT_MILLIS = 100;

    private final String host;
    private final ConditionalPlatformStore store;
    private final EventLoop controlLoop;
    private final EventLoop trafficLoop;
    private final PeerLinks peerLinks;
    private final RolloutGate gate;
    private final ExposureBounds bounds;
    private final LongSupplier clockMillis;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final RolloutWatcher watcher;
    private final RolloutStoreCalls storeCalls;
    private final Map<String, RolloutController> controllers = new HashMap<>();
    private final Map<String, Integer> orderedTargets = new HashMap<>();
    private final Set<String> endedOrders = new HashSet<>();
    private final Set<String> reportedProblems = new HashSet<>();
    private final List<Future<?>> timers = new ArrayList<>();

    /** Creates a service; {@code domainLinks} reach the hosts of the failure domain, {@code peerLinks} all. */
    public RolloutService(
            String host,
            ConditionalPlatformStore store,
            EventLoop controlLoop,
            EventLoop trafficLoop,
            PeerLinks peerLinks,
            PeerLinks domainLinks,
            RolloutGate gate,
            ExposureBounds bounds,
            LongSupplier clockMillis,
            DecisionLog log,
            EntryMetrics metrics) {
        this.host = Objects.requireNonNull(host, "host");
        this.store = Objects.requireNonNull(store, "store");
        this.controlLoop = Objects.requireNonNull(controlLoop, "control loop");
        this.trafficLoop = Objects.requireNonNull(trafficLoop, "traffic loop");
        this.peerLinks = Objects.requireNonNull(peerLinks, "peer links");
        this.gate = Objects.requireNonNull(gate, "gate");
        this.bounds = Objects.requireNonNull(bounds, "bounds");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.watcher = new RolloutWatcher(host, store, controlLoop, domainLinks, clockMillis, this, log, metrics);
        this.storeCalls = new RolloutStoreCalls(
                store, order -> controllers.get(order.id()), this::broadcast, clockMillis, log, metrics);
    }

    /** Starts to watch the orders. */
    public void start() {
        controlLoop.execute(watcher::start);
        timers.add(controlLoop.scheduleAtFixedRate(this::onTimer, TIMER_MILLIS, TIMER_MILLIS, TimeUnit.MILLISECONDS));
        timers.add(trafficLoop.scheduleAtFixedRate(
                this::collect, EVIDENCE_INTERVAL_MILLIS, EVIDENCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Reads the orders at once if the gate, which has just received new targets, waits for them. */
    public void onTargetsChanged() {
        trafficLoop.execute(() -> {
            if (gate.awaitsOrders()) {
                controlLoop.schedule(watcher::confirm, CONFIRM_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Stops all controllers and reports; other hosts take the leases over. */
    public void stop() {
        timers.forEach(timer -> timer.cancel(false));
        controlLoop.execute(controllers::clear);
    }

    @Override
    public void onOrders(
            List<RolloutOrder> orders, Map<String, RolloutStep> finalSteps, long readSentMillis, boolean reading) {
        trafficLoop.execute(() -> gate.updateOrders(orders, finalSteps, readSentMillis, clockMillis.getAsLong()));
        endedOrders.addAll(finalSteps.keySet());
        Set<String> ids = new HashSet<>();
        orders.forEach(order -> ids.add(order.id()));
        controllers.keySet().removeIf(id -> !ids.contains(id));
        if (reading) { // a status that was written late may have replaced the final one, which is then written again
            endedOrders.removeIf(id -> ids.contains(id) && !finalSteps.containsKey(id));
        }
        for (RolloutOrder order : orders) {
            if (reading && !finalSteps.containsKey(order.id()) && !controllers.containsKey(order.id())) {
                long delay = Math.floorMod(host.hashCode(), CANDIDATE_SLOTS) * CANDIDATE_SLOT_MILLIS;
                log.write(
                        "rollout-ordered",
                        "service",
                        order.service(),
                        "to",
                        order.version(),
                        "duration_ms",
                        order.durationMillis());
                controllers.put(
                        order.id(),
                        new RolloutController(host, order, bounds, storeCalls, delay, clockMillis.getAsLong()));
            }
        }
    }

    @Override
    public void onInvalid(StoredOrder.Invalid order) {
        if (reportedProblems.add(order.name() + " " + order.problem())) {
            log.write("rollout-refused", "order", order.name(), "problem", order.problem());
            metrics.recordRolloutDecision("refused");
        }
        if (!order.answered()) {
            store.writeStatus(
                    RolloutCodec.ORDER_KIND,
                    order.name(),
                    RolloutCodec.encodeRefusal(order),
                    CALL_TIMEOUT_MILLIS,
                    reply -> metrics.recordStoreCall(
                            "rollout-status", reply.getClass().getSimpleName()));
        }
    }

    @Override
    public void onGrant(RolloutGrant grant) {
        trafficLoop.execute(() -> gate.onGrant(grant, clockMillis.getAsLong()));
        RolloutController controller = controllers.get(grant.order().id());
        if (controller != null) {
            controller.onGrant(grant, clockMillis.getAsLong());
        }
    }

    @Override
    public void onEvidence(RolloutEvidence evidence) {
        RolloutController controller = controllers.get(evidence.orderId());
        if (controller != null) {
            controller.onEvidence(evidence, clockMillis.getAsLong());
        }
    }

    @Override
    public void onOrders(EntryPeerMessage.RolloutOrdersTold told) {
        watcher.onTold(told);
    }

    private void onTimer() {
        long now = clockMillis.getAsLong();
        controllers
                .values()
                .removeIf(controller -> controller.isFinished(now)
                        || (!controller.isHolding()
                                && (!watcher.isReading()
                                        || endedOrders.contains(
                                                controller.order().id()))));
        for (RolloutController controller : List.copyOf(controllers.values())) {
            controller.onTargets(orderedTargets.getOrDefault(controller.order().id(), 0));
            controller.onTimer(now);
        }
    }

    /** Collects the evidence of this host; runs on the traffic loop. */
    private void collect() {
        Map<String, List<RolloutEvidence>> evidence = gate.evidence(clockMillis.getAsLong());
        Map<String, Integer> targets = gate.orderedTargets();
        boolean awaitsOrders = gate.awaitsOrders();
        if (!targets.isEmpty() || awaitsOrders) {
            controlLoop.execute(() -> report(evidence, targets, awaitsOrders));
        }
    }

    private void report(
            Map<String, List<RolloutEvidence>> evidence, Map<String, Integer> targets, boolean awaitsOrders) {
        orderedTargets.putAll(targets);
        if (awaitsOrders) {
            watcher.confirm();
        }
        evidence.forEach((holder, all) -> all.stream()
                .filter(seen -> !endedOrders.contains(seen.orderId()))
                .forEach(seen -> {
                    if (holder.equals(host)) {
                        onEvidence(seen);
                    } else {
                        peerLinks.send(List.of(holder), new EntryPeerMessage.RolloutSeen(seen));
                    }
                }));
    }

    private void broadcast(RolloutGrant grant) {
        trafficLoop.execute(() -> gate.onGrant(grant, clockMillis.getAsLong()));
        peerLinks.send(peerLinks.connectedPeers(), new EntryPeerMessage.RolloutGranted(grant));
    }
}
