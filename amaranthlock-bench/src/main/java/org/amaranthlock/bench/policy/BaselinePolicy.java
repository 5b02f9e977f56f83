package org.amaranthlock.bench.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.coordination.routing.SelectionContext;
import org.amaranthlock.coordination.routing.TargetSelector;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.state.TargetDirectory;
import org.apache.commons.rng.UniformRandomProvider;

/** A well-known policy that looks at reported load at most and admits everything. */
public final class BaselinePolicy implements Policy {
    /** How a baseline chooses among the suitable targets. */
    public enum Choice {
        RANDOM("random"),
        ROUND_ROBIN("round robin"),
        LEAST_REPORTED("least reported load"),
        TWO_REPORTED("two choices on reported load");

        private final String title;

        Choice(String title) {
            this.title = title;
        }

        /** Returns its name in tables. */
        public String title() {
            return title;
        }
    }

    private final Choice choice;

    /** Creates a baseline. */
    public BaselinePolicy(Choice choice) {
        this.choice = Objects.requireNonNull(choice, "choice");
    }

    @Override
    public String title() {
        return choice.title();
    }

    @Override
    public Parts create(Surroundings surroundings) {
        return new Parts(new BaselineSelector(choice, surroundings.directory(), surroundings.random()), new AdmitAll());
    }

    private static final class BaselineSelector implements TargetSelector {
        /** Prior of the product's selector, so that stall detection starts out the same. */
        private static final double PACE_MILLIS = 50;

        /** Baselines wait in the engines' queues; a shorter bound would cancel and repeat work that only waits. */
        private static final double FIRST_TOKEN_MILLIS = 600_000;

        private final Choice choice;
        private final TargetDirectory directory;
        private final UniformRandomProvider random;
        private final Map<TargetId, Integer> reported = new LinkedHashMap<>();
        private final Map<AttemptId, TargetId> attempts = new LinkedHashMap<>();
        private int turn;

        private BaselineSelector(Choice choice, TargetDirectory directory, UniformRandomProvider random) {
            this.choice = choice;
            this.directory = directory;
            this.random = random;
            this.turn = random.nextInt(1_000);
        }

        @Override
        public Optional<Target> select(RequestSpec spec, SelectionContext context, long nowMillis) {
            List<Target> suitable = directory.targets(spec.service()).stream()
                    .filter(target -> directory.isAvailable(target.id()))
                    .filter(target -> !context.excluded().contains(target.id()))
                    .toList();
            return suitable.isEmpty() ? Optional.empty() : Optional.of(choose(suitable));
        }

        private Target choose(List<Target> suitable) {
            return switch (choice) {
                case RANDOM -> suitable.get(random.nextInt(suitable.size()));
                case ROUND_ROBIN -> {
                    turn++;
                    yield suitable.get(turn % suitable.size());
                }
                case LEAST_REPORTED -> {
                    int offset = random.nextInt(suitable.size());
                    Target best = suitable.get(offset);
                    for (int i = 1; i < suitable.size(); i++) {
                        best = lessLoaded(best, suitable.get((offset + i) % suitable.size()));
                    }
                    yield best;
                }
                case TWO_REPORTED ->
                    lessLoaded(
                            suitable.get(random.nextInt(suitable.size())),
                            suitable.get(random.nextInt(suitable.size())));
            };
        }

        private Target lessLoaded(Target first, Target second) {
            return reported.getOrDefault(second.id(), 0) < reported.getOrDefault(first.id(), 0) ? second : first;
        }

        @Override
        public void onAttemptStarted(
                AttemptId attempt, RequestSpec spec, Target target, int resumedTokens, long nowMillis) {
            attempts.put(attempt, target.id());
        }

        @Override
        public void onTokens(AttemptId attempt, int tokens, long nowMillis) {
            // Baselines don't learn from what they observe.
        }

        @Override
        public void onAttemptFinished(AttemptId attempt, AttemptResult result, long nowMillis) {
            attempts.remove(attempt);
        }

        @Override
        public void onTargetEvent(TargetEvent event, long nowMillis) {
            if (event instanceof TargetEvent.LoadReported report) {
                reported.put(report.target(), report.running() + report.queued());
            }
        }

        @Override
        public int inFlightAttempts(TargetId target) {
            return (int) attempts.values().stream().filter(target::equals).count();
        }

        @Override
        public double expectedTokenLatencyMillis(TargetId target) {
            return PACE_MILLIS;
        }

        @Override
        public double medianTokenLatencyMillis(ServiceName service, long nowMillis) {
            return Double.POSITIVE_INFINITY;
        }

        @Override
        public double expectedFirstTokenMillis(RequestSpec spec, TargetId target, int resumedTokens) {
            return FIRST_TOKEN_MILLIS;
        }
    }
}
