package org.amaranthlock.coordination.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthlock.coordination.placement.CandidateLoad;
import org.amaranthlock.coordination.placement.FleetView;
import org.amaranthlock.coordination.placement.PlacementChoice;
import org.amaranthlock.model.TargetId;
import org.apache.commons.rng.UniformRandomProvider;

/** Tells which attempt of one request would be sent now, by the code that decides on it, without sending it. */
final class AttemptPreviewer {
    private final ServiceDefinition service;
    private final long tokens;
    private final TargetLoadBalancer loadBalancer;
    private final RetryTargets retryTargets;
    private final boolean backupPossible;
    private final FirstEventForecast forecast;

    /**
     * Creates a previewer.
     *
     * @param tokens KV cache size that the request is expected to need, in tokens
     * @param backupPossible whether a backup of the KV cache is made if an engine has room for it
     */
    AttemptPreviewer(
            ServiceDefinition service,
            long tokens,
            TargetLoadBalancer loadBalancer,
            RetryTargets retryTargets,
            boolean backupPossible,
            FirstEventForecast forecast) {
        this.service = Objects.requireNonNull(service, "service");
        this.tokens = tokens;
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.retryTargets = Objects.requireNonNull(retryTargets, "retry targets");
        this.backupPossible = backupPossible;
        this.forecast = Objects.requireNonNull(forecast, "forecast");
    }

    /** Returns the attempt that would be sent now, if the random generator were {@code random}. */
    AttemptPreview preview(UniformRandomProvider random, long deadlineMillis, long nowMillis) {
        Optional<EntryTarget> holder = retryTargets.previewHolder(nowMillis);
        PlacementPreview placement = previewPlacement(retryTargets.constraint(), random, nowMillis);
        Optional<EntryTarget> target = holder.or(placement::target);
        Optional<PlacementChoice> backup = backupPossible
                ? target.flatMap(primary -> previewBackup(primary, random, nowMillis))
                : Optional.empty();
        // Drawn last, so that it does not change the random numbers of the choices above.
        Optional<PlacementPreview> withoutBest = placement
                .target()
                .map(best -> previewPlacement(retryTargets.constraint().alsoAvoiding(best.id()), random, nowMillis));
        boolean tooLate = target.isPresent()
                && forecast.isTooLate(
                        new RetryTargets.Destination(target.get(), Optional.empty(), holder.isPresent()),
                        deadlineMillis,
                        nowMillis);
        return new AttemptPreview(holder, placement, withoutBest, backupPossible, backup, tooLate);
    }

    private PlacementPreview previewPlacement(TargetConstraint all, UniformRandomProvider random, long nowMillis) {
        AtomicReference<PlacementPreview> last = new AtomicReference<>();
        retryTargets.chooseFirst(
                all,
                constraint -> {
                    last.set(previewCandidates(constraint, random, nowMillis));
                    return last.get().target();
                },
                nowMillis);
        return last.get();
    }

    private PlacementPreview previewCandidates(
            TargetConstraint constraint, UniformRandomProvider random, long nowMillis) {
        List<CandidateLoad> candidates = loadBalancer.candidates(service, constraint, nowMillis);
        FleetView fleet = loadBalancer.fleetView(service, tokens, nowMillis);
        Optional<PlacementChoice> choice =
                loadBalancer.placementPolicy().previewTarget(service, tokens, candidates, fleet, random);
        boolean admitted = choice.isPresent() && loadBalancer.wouldAdmit(choice.get(), random, nowMillis);
        return new PlacementPreview(fleet, choice, admitted, leftOut(candidates, constraint, nowMillis));
    }

    private Optional<PlacementChoice> previewBackup(EntryTarget primary, UniformRandomProvider random, long nowMillis) {
        Set<TargetId> excluded = new HashSet<>(retryTargets.avoided());
        excluded.add(primary.id());
        return loadBalancer.previewBackup(service, primary, tokens, excluded, random, nowMillis);
    }

    private List<PlacementPreview.LeftOut> leftOut(
            List<CandidateLoad> candidates, TargetConstraint constraint, long nowMillis) {
        Set<TargetId> included = new HashSet<>();
        candidates.forEach(load -> included.add(load.target().id()));
        return loadBalancer.targets(service.name()).stream()
                .filter(target -> !included.contains(target.id()))
                .map(target -> new PlacementPreview.LeftOut(
                        target, loadBalancer.leftOutReason(service, target, constraint, nowMillis)))
                .toList();
    }
}
