package org.amaranthlock.coordination.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.amaranthlock.coordination.loadreport.ReportPlanner;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Uses one policy in a fleet whose hosts report to each other directly, and another one in a larger fleet.
 *
 * <p>Direct reports are milliseconds old, so that the least loaded target is known, and any other choice only costs
 * time. Reports that other hosts relay are some hundred milliseconds old.
 */
public final class FleetSizePlacement implements PlacementPolicy {
    private final PlacementPolicy direct;
    private final PlacementPolicy relayed;

    /**
     * Creates a policy.
     *
     * @param direct policy in a fleet of at most {@link ReportPlanner#MAX_DIRECT_HOSTS} hosts
     * @param relayed policy in a larger fleet
     */
    public FleetSizePlacement(PlacementPolicy direct, PlacementPolicy relayed) {
        this.direct = Objects.requireNonNull(direct, "direct policy");
        this.relayed = Objects.requireNonNull(relayed, "relayed policy");
    }

    @Override
    public Optional<EntryTarget> chooseTarget(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet) {
        return policy(fleet).chooseTarget(service, tokens, candidates, fleet);
    }

    @Override
    public Optional<EntryTarget> chooseBackup(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet) {
        return policy(fleet).chooseBackup(service, tokens, candidates, fleet);
    }

    @Override
    public Optional<PlacementChoice> previewTarget(
            ServiceDefinition service,
            long tokens,
            List<CandidateLoad> candidates,
            FleetView fleet,
            UniformRandomProvider random) {
        return policy(fleet).previewTarget(service, tokens, candidates, fleet, random);
    }

    @Override
    public Optional<PlacementChoice> previewBackup(
            ServiceDefinition service,
            long tokens,
            List<CandidateLoad> candidates,
            FleetView fleet,
            UniformRandomProvider random) {
        return policy(fleet).previewBackup(service, tokens, candidates, fleet, random);
    }

    private PlacementPolicy policy(FleetView fleet) {
        return fleet.hosts() > ReportPlanner.MAX_DIRECT_HOSTS ? relayed : direct;
    }
}
