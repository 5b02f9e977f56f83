package org.amaranthlock.coordination.placement;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.apache.commons.rng.UniformRandomProvider;

/** Strategy for choosing the target of an attempt, or the engine that keeps a KV cache backup, among candidates. */
public interface PlacementPolicy {
    /**
     * Chooses the target of an attempt.
     *
     * @param service service of the candidates
     * @param tokens KV cache size that the request is expected to need on an engine, in tokens
     * @param candidates available targets
     * @param fleet what this host knows of the fleet
     * @return the chosen target; empty if there is no candidate
     */
    Optional<EntryTarget> chooseTarget(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet);

    /**
     * Chooses the engine that keeps a KV cache backup.
     *
     * @param service service of the candidates
     * @param tokens KV cache size that the backup is expected to need, in tokens
     * @param candidates available engines
     * @param fleet what this host knows of the fleet
     * @return the chosen engine; empty if no backup is to be made
     */
    Optional<EntryTarget> chooseBackup(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet);

    /**
     * Returns the choice that {@link #chooseTarget} would make with the same arguments, and its costs; changes no state.
     *
     * @param random copy of the generator that the policy uses, in its present state
     */
    Optional<PlacementChoice> previewTarget(
            ServiceDefinition service,
            long tokens,
            List<CandidateLoad> candidates,
            FleetView fleet,
            UniformRandomProvider random);

    /** Like {@link #previewTarget}, for {@link #chooseBackup}. */
    Optional<PlacementChoice> previewBackup(
            ServiceDefinition service,
            long tokens,
            List<CandidateLoad> candidates,
            FleetView fleet,
            UniformRandomProvider random);
}
