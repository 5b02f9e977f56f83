package org.amaranthlock.bench.forwarding;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.amaranthlock.bench.policy.BaselinePolicy.Choice;
import org.amaranthlock.coordination.forwarding.CandidateLoad;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.PlacementPolicy;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.apache.commons.rng.UniformRandomProvider;

/** Well-known placements that know reported load at most. */
final class BaselinePlacement implements PlacementPolicy {
    private final Choice choice;
    private final ToIntFunction<EntryTarget> reportedLoad;
    private final UniformRandomProvider random;
    private int turn;

    /**
     * Creates a baseline.
     *
     * @param reportedLoad requests at a target as of its last report
     */
    BaselinePlacement(Choice choice, ToIntFunction<EntryTarget> reportedLoad, UniformRandomProvider random) {
        this.choice = Objects.requireNonNull(choice, "choice");
        this.reportedLoad = Objects.requireNonNull(reportedLoad, "reported load");
        this.random = Objects.requireNonNull(random, "random");
        this.turn = random.nextInt(1_000);
    }

    @Override
    public Optional<EntryTarget> choose(ServiceDefinition service, long tokens, List<CandidateLoad> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        List<EntryTarget> targets =
                candidates.stream().map(CandidateLoad::target).toList();
        return Optional.of(
                switch (choice) {
                    case RANDOM -> draw(targets);
                    case ROUND_ROBIN -> targets.get(turn++ % targets.size());
                    case LEAST_REPORTED -> leastReported(targets);
                    case TWO_REPORTED -> leastReported(List.of(draw(targets), draw(targets)));
                });
    }

    @Override
    public Optional<EntryTarget> chooseBackup(ServiceDefinition service, long tokens, List<CandidateLoad> candidates) {
        return choose(service, tokens, candidates);
    }

    private EntryTarget leastReported(List<EntryTarget> targets) {
        int least = targets.stream().mapToInt(reportedLoad).min().orElseThrow();
        List<EntryTarget> equal = targets.stream()
                .filter(target -> reportedLoad.applyAsInt(target) == least)
                .sorted(Comparator.comparing(target -> target.id().value()))
                .toList();
        return draw(equal);
    }

    private EntryTarget draw(List<EntryTarget> targets) {
        return targets.get(random.nextInt(targets.size()));
    }
}
