package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.amaranthlock.coordination.loadreport.ReportPlanner;
import org.amaranthlock.coordination.placement.BackupSpread;
import org.amaranthlock.coordination.placement.CandidateLoad;
import org.amaranthlock.coordination.placement.FleetView;
import org.amaranthlock.coordination.placement.PlacementChoice;
import org.amaranthlock.coordination.placement.PlacementPolicy;
import org.amaranthlock.coordination.region.CopyCandidates;
import org.amaranthlock.coordination.region.RegionLinks;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the engine that keeps the backup of a stream's KV cache.
 *
 * <p>Load pattern: domains of engines fail one after the other, and links between regions carry few copies. A backup
 * stays in its stream's region if that protects the stream as well, and crosses a link only if that carries it. Not
 * thread-safe.
 */
final class BackupChooser {
    private final PlacementPolicy placementPolicy;
    private final RegionLinks links;
    private final Mechanisms mechanisms;

    /**
     * State of the fleet when a backup is placed.
     *
     * @param loads returns the load of engines
     * @param view state beyond the load of each engine
     * @param ownBackups backups of this host by domain
     * @param failing matches domains in which targets fail
     */
    record Fleet(
            Function<List<EntryTarget>, List<CandidateLoad>> loads,
            FleetView view,
            Map<FailureDomain, Integer> ownBackups,
            Predicate<FailureDomain> failing) {}

    BackupChooser(PlacementPolicy placementPolicy, RegionLinks links, Mechanisms mechanisms) {
        this.placementPolicy = Objects.requireNonNull(placementPolicy, "placement policy");
        this.links = Objects.requireNonNull(links, "links");
        this.mechanisms = Objects.requireNonNull(mechanisms, "mechanisms");
    }

    /**
     * Chooses an engine.
     *
     * @param primary domain of the stream's engine
     * @param candidates available engines in other domains
     */
    Optional<EntryTarget> choose(
            ServiceDefinition service, FailureDomain primary, long tokens, List<EntryTarget> candidates, Fleet fleet) {
        return firstChoice(
                        primary,
                        candidates,
                        fleet,
                        loads -> placementPolicy.chooseBackup(service, tokens, loads, fleet.view()))
                .filter(backup -> links.admitCopy(primary, backup.failureDomain(), tokens));
    }

    /** Returns the choice that {@link #choose} would make with {@code random}, without making it. */
    Optional<PlacementChoice> preview(
            ServiceDefinition service,
            FailureDomain primary,
            long tokens,
            List<EntryTarget> candidates,
            Fleet fleet,
            UniformRandomProvider random) {
        return firstChoice(
                        primary,
                        candidates,
                        fleet,
                        loads -> placementPolicy.previewBackup(service, tokens, loads, fleet.view(), random))
                .filter(choice -> links.hasRoomForCopy(primary, choice.target().failureDomain(), tokens));
    }

    /** Returns the number of a host's backups by domain. */
    static Map<FailureDomain, Integer> backupsByDomain(Map<TargetId, InFlightLoad> inFlight, TargetTable table) {
        Map<FailureDomain, Integer> backups = new HashMap<>();
        inFlight.forEach((id, load) -> {
            if (load.backups() > 0) {
                table.target(id)
                        .ifPresent(target -> backups.merge(target.failureDomain(), load.backups(), Integer::sum));
            }
        });
        return backups;
    }

    /** Returns the choice among the engines near the stream's engine, or among all if none of them is suitable. */
    private <T> Optional<T> firstChoice(
            FailureDomain primary,
            List<EntryTarget> candidates,
            Fleet fleet,
            Function<List<CandidateLoad>, Optional<T>> placement) {
        List<EntryTarget> near = CopyCandidates.preferred(candidates, primary, links.regions(), fleet.failing());
        Optional<T> chosen = placement.apply(spread(near, fleet));
        return chosen.isEmpty() && near.size() < candidates.size()
                ? placement.apply(spread(candidates, fleet))
                : chosen;
    }

    private List<CandidateLoad> spread(List<EntryTarget> engines, Fleet fleet) {
        boolean spreads = mechanisms.uses(Mechanism.EVEN_LOAD) && fleet.view().hosts() > ReportPlanner.MAX_DIRECT_HOSTS;
        return fleet.loads()
                .apply(spreads ? BackupSpread.withinShares(engines, fleet.ownBackups(), fleet.failing()) : engines);
    }
}
