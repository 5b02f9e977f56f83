package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Optional;

/** Chooses the target of an attempt, or the engine that keeps a copy, among those that may be used. */
public interface PlacementPolicy {
    /**
     * Chooses the target of an attempt.
     *
     * @param service service of the candidates
     * @param tokens memory that the request is expected to need at an engine, tokens
     * @param candidates targets that may be used
     * @return the choice; empty if there is no candidate
     */
    Optional<EntryTarget> choose(ServiceDefinition service, long tokens, List<CandidateLoad> candidates);

    /**
     * Chooses the engine that keeps a copy of a run.
     *
     * @param service service of the candidates
     * @param tokens memory that the copy is expected to need, tokens
     * @param candidates engines that may be used
     * @return the choice; empty if the copy should not be made
     */
    Optional<EntryTarget> chooseBackup(ServiceDefinition service, long tokens, List<CandidateLoad> candidates);
}
