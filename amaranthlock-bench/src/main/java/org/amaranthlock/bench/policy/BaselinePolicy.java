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

/** Well-known policy that uses no information beyond the reported load and admits every request. */
public final class BaselinePolicy implements Policy {
    /** Strategy by which a baseline selects one of the suitable targets. */
    public enum SelectionStrategy {
        RANDOM("random"),
        ROUND_ROBIN("round robin"),
        LEAST_REPORTED_LOAD("least reported load"),
        TWO_RANDOM_CHOICES("two choices on reported load");

        private final String title;

        SelectionStrategy(String title) {
            this.title = title;
        }

        /** Returns the title in tables. */
        public String title() {
            return title;
        }
    }

    private final SelectionStrategy strategy;

    /** Creates a baseline with the given selection strategy. */
    public BaselinePolicy(SelectionStrategy strategy) {
        this.strategy = Objects.requireNonNull(strategy, "strategy");
    }

    @Override
    public String title() {
        return strategy.title();
    }

    @Override
    public Components create(Context context) {
        return new Components(
                new BaselineSelector(strategy, context.directory(), context.random()), new AdmitAllController());
    }

    private static final class BaselineSelector implements TargetSelector {
        /** Initial token latency estimate of the product's selector; stall detection starts with the same value. */
        private static final double TOKEN_LATENCY_MILLIS = 50;

        /**
         * Expected time to the first token. Requests wait in the engines' queues; a shorter time would cancel and retry
         * those that are only queued.
         */
        private static final double EXPECTED_FIRST_TOKEN_MILLIS = 600_000;

        private final SelectionStrategy strategy;
        private final TargetDirectory directory;
        private final UniformRandomProvider random;
        private final Map<TargetId, Integer> reportedLoads = new LinkedHashMap<>();
        private final Map<AttemptId, TargetId> attempts = new LinkedHashMap<>();
        private int nextIndex;

        private BaselineSelector(SelectionStrategy strategy, TargetDirectory directory, UniformRandomProvider random) {
            this.strategy = strategy;
            this.directory = directory;
            this.random = random;
            // A random start, so that the routers do not all send their first requests to the same target.
            this.nextIndex = random.nextInt(1_000);
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
            return switch (strategy) {
                case RANDOM -> suitable.get(random.nextInt(suitable.size()));
                case ROUND_ROBIN -> {
                    nextIndex++;
                    yield suitable.get(nextIndex % suitable.size());
                }
                case LEAST_REPORTED_LOAD -> {
                    // The search starts at a random target, so that ties are broken at random.
                    int offset = random.nextInt(suitable.size());
                    Target best = suitable.get(offset);
                    for (int i = 1; i < suitable.size(); i++) {
                        best = lessLoaded(best, suitable.get((offset + i) % suitable.size()));
                    }
                    yield best;
                }
                case TWO_RANDOM_CHOICES ->
                    lessLoaded(
                            suitable.get(random.nextInt(suitable.size())),
                            suitable.get(random.nextInt(suitable.size())));
            };
        }

        private Target lessLoaded(Target first, Target second) {
            return reportedLoads.getOrDefault(second.id(), 0) < reportedLoads.getOrDefault(first.id(), 0)
                    ? second
                    : first;
        }

        @Override
        public void onAttemptStarted(
                AttemptId attempt, RequestSpec spec, Target target, int resumedTokens, long nowMillis) {
            attempts.put(attempt, target.id());
        }

        @Override
        public void onTokens(AttemptId attempt, int tokens, long nowMillis) {
            // Baselines do not adapt to observed progress.
        }

        @Override
        public void onAttemptFinished(AttemptId attempt, AttemptResult result, long nowMillis) {
            attempts.remove(attempt);
        }

        @Override
        public void onTargetEvent(TargetEvent event, long nowMillis) {
            if (event instanceof TargetEvent.LoadReported loadReport) {
                reportedLoads.put(loadReport.target(), loadReport.running() + loadReport.queued());
            }
        }

        @Override
        public int localAttempts(TargetId target) {
            return (int) attempts.values().stream().filter(target::equals).count();
        }

        @Override
        public double expectedTokenLatencyMillis(TargetId target) {
            return TOKEN_LATENCY_MILLIS;
        }

        @Override
        public double medianTokenLatencyMillis(ServiceName service, long nowMillis) {
            // Unknown, because the baselines do not measure latencies.
            return Double.POSITIVE_INFINITY;
        }

        @Override
        public double expectedFirstTokenMillis(RequestSpec spec, TargetId target, int resumedTokens) {
            return EXPECTED_FIRST_TOKEN_MILLIS;
        }
    }
}
