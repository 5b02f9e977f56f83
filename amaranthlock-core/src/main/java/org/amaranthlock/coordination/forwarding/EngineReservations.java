package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import org.amaranthlock.coordination.loadreport.ReportPlanner;
import org.amaranthlock.coordination.placement.CandidateLoad;
import org.amaranthlock.coordination.reservation.FleetLoads;
import org.amaranthlock.coordination.reservation.PlacementReservations;
import org.amaranthlock.coordination.reservation.ReservationPlan;
import org.amaranthlock.coordination.reservation.ReservationRequest;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;

/**
 * Connects the reservations of engines with the load that a host knows.
 *
 * <p>Load pattern: see {@link PlacementReservations}. In a fleet whose hosts report to each other directly, reports are
 * milliseconds old, and nothing is asked. Not thread-safe.
 */
public final class EngineReservations implements FleetLoads {
    private final TargetLoadBalancer loadBalancer;
    private final PlacementReservations reservations;
    private final LongSupplier clockMillis;
    private final Map<String, Map<TargetId, InFlightLoad>> lastReports = new HashMap<>();

    /** Question to the keeper of a group of engines. */
    record Question(String keeper, ReservationRequest request) {}

    /** Listener for the answer to a question. */
    @FunctionalInterface
    interface AnswerListener {
        /** Called with the reserved engine; empty if there is no answer in time. */
        void onAnswered(Optional<TargetId> reserved, long nowMillis);
    }

    /** Creates the reservations of a host that has received no report. */
    public EngineReservations(
            TargetLoadBalancer loadBalancer, PlacementReservations reservations, LongSupplier clockMillis) {
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.reservations = Objects.requireNonNull(reservations, "reservations");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
    }

    /** Replaces the connected hosts that read reservation requests, with their failure domains. */
    public void updatePeers(Map<String, FailureDomain> peers) {
        reservations.updatePeers(peers);
        lastReports.keySet().retainAll(peers.keySet());
    }

    /** Applies a report of another host. */
    public void recordReport(HostLoadReport report, long madeAtMillis) {
        Map<TargetId, InFlightLoad> before = lastReports.put(report.host(), report.inFlight());
        reservations.recordReport(
                report.host(), prompts(before == null ? Map.of() : before), prompts(report.inFlight()), madeAtMillis);
    }

    /** Reserves the best candidate for another host. */
    public TargetId grant(String host, ReservationRequest request) {
        return reservations.grant(host, request, this);
    }

    @Override
    public boolean isReporting(String host) {
        return loadBalancer.isReporting(host, clockMillis.getAsLong());
    }

    @Override
    public int prompts(TargetId engine) {
        return loadBalancer.prefilling(engine);
    }

    @Override
    public double slowness(TargetId engine) {
        return loadBalancer.estimates().slowness(engine, clockMillis.getAsLong());
    }

    /**
     * Returns what to ask a keeper for a stream; empty if it is placed better without asking.
     *
     * @param chosen engine that was chosen without asking
     */
    Optional<Question> question(
            ServiceDefinition service, long tokens, EntryTarget chosen, TargetConstraint constraint, long nowMillis) {
        return plan(service, tokens, chosen, constraint, nowMillis)
                .flatMap(plan -> reservations
                        .keeperToAsk(plan.group(), plan.unseenWaitMillis(), this)
                        .map(keeper -> new Question(keeper, plan.request())));
    }

    /** Asks a keeper; {@code listener} is called once, within this call if this host is the keeper. */
    void ask(Question question, AnswerListener listener) {
        reservations.reserve(
                question.keeper(),
                question.request(),
                this,
                reserved -> listener.onAnswered(reserved, clockMillis.getAsLong()));
    }

    /**
     * Returns what a keeper would be asked; empty if there is only one candidate, if hosts report to each other directly,
     * or if permits or the rules for brittle targets already limit the engine.
     */
    private Optional<ReservationPlan> plan(
            ServiceDefinition service, long tokens, EntryTarget chosen, TargetConstraint constraint, long nowMillis) {
        if (loadBalancer.hostCount() <= ReportPlanner.MAX_DIRECT_HOSTS || hasLimit(chosen, nowMillis)) {
            return Optional.empty();
        }
        List<CandidateLoad> candidates = loadBalancer.candidates(service, constraint, nowMillis).stream()
                .filter(load -> load.target().version().equals(chosen.version()))
                .filter(load -> !hasLimit(load.target(), nowMillis))
                .toList();
        if (candidates.stream().noneMatch(load -> load.target().equals(chosen))) {
            return Optional.empty(); // it is excluded after a failure, and the last one left
        }
        ReservationPlan plan = ReservationPlan.of(
                service,
                tokens,
                chosen,
                candidates,
                loadBalancer.fleetView(service, tokens, nowMillis),
                domain -> (int) loadBalancer.targets(service.name()).stream()
                        .filter(target -> target.failureDomain().equals(domain))
                        .count());
        return plan.request().candidates().size() > 1 ? Optional.of(plan) : Optional.empty();
    }

    /** Returns whether permits, or the rejections that an engine survives, decide how many requests it gets. */
    private boolean hasLimit(EntryTarget engine, long nowMillis) {
        return loadBalancer.permits().isLimited(engine.incarnation()) || loadBalancer.isBrittle(engine, nowMillis);
    }

    private static ToIntFunction<TargetId> prompts(Map<TargetId, InFlightLoad> load) {
        return engine -> load.getOrDefault(engine, InFlightLoad.NONE).prefilling();
    }
}
