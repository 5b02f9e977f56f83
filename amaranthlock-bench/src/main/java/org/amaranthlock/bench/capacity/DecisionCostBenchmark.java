package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.bench.sim.StaticConfiguration;
import org.amaranthlock.coordination.admission.AdmissionDecision;
import org.amaranthlock.coordination.admission.DefaultAdmissionController;
import org.amaranthlock.coordination.configuration.AccountSettings;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.coordination.routing.DefaultTargetSelector;
import org.amaranthlock.coordination.routing.SelectionContext;
import org.amaranthlock.coordination.routing.TargetSelector;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.state.TargetDirectory;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures the time and memory of the decisions about one request: admission, target selection, start, progress and
 * completion.
 *
 * <p>Uses a plain timed loop because JMH's annotation processor is not available to an offline build. After a warm-up
 * it reports the median of several passes over requests that were created beforehand. The result of each decision is
 * used, so that the compiler cannot remove it as dead code.
 */
final class DecisionCostBenchmark {
    private static final int[] TARGET_COUNTS = {6, 12, 24, 48, 96};
    private static final int WARM_UP_REQUESTS = 60_000;
    private static final int REQUESTS_PER_PASS = 20_000;
    private static final int PASSES = 9;
    private static final int OPEN_REQUESTS = 64;
    private static final int TOKENS_PER_REQUEST = 8;
    private static final Region REGION = new Region("region-0");

    private final PrintWriter out;
    private final com.sun.management.ThreadMXBean threads =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    private long selections;

    DecisionCostBenchmark(PrintWriter out) {
        this.out = out;
    }

    void run() {
        for (int targets : TARGET_COUNTS) {
            DecisionLoop loop = new DecisionLoop(targets);
            loop.runPass(loop.createRequests(WARM_UP_REQUESTS));
        }
        out.println("admit + select + start + 2 x tokens + complete, " + OPEN_REQUESTS + " requests open");
        out.println("targets   us/request   min us   max us   bytes/request");
        List<LinearFit.Point> micros = new ArrayList<>();
        for (int targets : TARGET_COUNTS) {
            DecisionLoop loop = new DecisionLoop(targets);
            loop.runPass(loop.createRequests(REQUESTS_PER_PASS));
            List<Double> passes = new ArrayList<>();
            long allocatedBytes = 0;
            for (int i = 0; i < PASSES; i++) {
                List<RequestSpec> requests = loop.createRequests(REQUESTS_PER_PASS);
                long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
                long start = System.nanoTime();
                loop.runPass(requests);
                passes.add((System.nanoTime() - start) / 1_000.0 / REQUESTS_PER_PASS);
                allocatedBytes += threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
            }
            double bytes = (double) allocatedBytes / PASSES / REQUESTS_PER_PASS;
            double median = FleetMeasurement.median(passes);
            micros.add(new LinearFit.Point(targets, median));
            out.printf(
                    Locale.ROOT,
                    "%7d   %10.1f   %6.1f   %6.1f   %13.0f%n",
                    targets,
                    median,
                    passes.stream().mapToDouble(Double::doubleValue).min().orElse(0),
                    passes.stream().mapToDouble(Double::doubleValue).max().orElse(0),
                    bytes);
        }
        LinearFit fit = LinearFit.fit(micros);
        out.printf(
                Locale.ROOT,
                "line: %.2f us per target, %.1f us at 0, R2 %.3f; targets selected: %b%n",
                fit.slope(),
                fit.intercept(),
                fit.r2(),
                selections > 0);
    }

    private final class DecisionLoop {
        private final RequestGenerator requestGenerator =
                new RequestGenerator(new FleetSize(1, 1, 100, 1, TOKENS_PER_REQUEST, 0), 5);
        private final List<Target> targets = new ArrayList<>();
        private final DefaultTargetSelector selector;
        private final DefaultAdmissionController admission;
        private final List<OpenRequest> openRequests = new ArrayList<>();
        private long nowMillis = 1_000_000;

        private DecisionLoop(int count) {
            for (int i = 0; i < count; i++) {
                targets.add(new Target(
                        new TargetId("target-" + i),
                        new ServiceName("service"),
                        "10.0.0.1:" + (8_000 + i),
                        REGION,
                        new FailureDomain("domain-" + i % 3),
                        "model",
                        "v1",
                        16,
                        Set.of()));
            }
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
            selector = new DefaultTargetSelector(new FixedTargetDirectory(targets), REGION, random);
            admission = new DefaultAdmissionController(
                    selector,
                    new StaticConfiguration(List.of(), List.<AccountSettings>of(), targets),
                    new SingleRouterMembership(),
                    random);
        }

        /** Creates the requests of a pass before the pass is timed. */
        private List<RequestSpec> createRequests(int count) {
            List<RequestSpec> specs = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                RequestSpec generated = requestGenerator.next(nowMillis + i + 1).spec();
                specs.add(new RequestSpec(
                        generated.id(),
                        generated.account(),
                        new ServiceName("service"),
                        generated.profile(),
                        generated.key(),
                        generated.fingerprint(),
                        generated.arrivedAtMillis(),
                        generated.deadlineMillis(),
                        generated.work()));
            }
            return specs;
        }

        private void runPass(List<RequestSpec> requests) {
            for (RequestSpec spec : requests) {
                nowMillis += 1;
                startRequest(spec);
                if (openRequests.size() >= OPEN_REQUESTS) {
                    completeRequest(openRequests.removeFirst());
                }
            }
        }

        private void startRequest(RequestSpec spec) {
            if (admission.admit(spec, nowMillis) instanceof AdmissionDecision.Admitted) {
                Target target = selector.select(spec, SelectionContext.forFirstAttempt(), nowMillis)
                        .orElseThrow();
                AttemptId attempt = new AttemptId(spec.id(), 1);
                selector.onAttemptStarted(attempt, spec, target, 0, nowMillis);
                openRequests.add(new OpenRequest(spec, attempt));
                selections++;
            }
        }

        private void completeRequest(OpenRequest request) {
            selector.onTokens(request.attempt(), 1, nowMillis);
            selector.onTokens(request.attempt(), TOKENS_PER_REQUEST - 1, nowMillis + 1);
            admission.recordTokens(request.spec().id(), TOKENS_PER_REQUEST, nowMillis);
            selector.onAttemptFinished(request.attempt(), TargetSelector.AttemptResult.SUCCEEDED, nowMillis);
            admission.recordCompletion(request.spec().id(), true, nowMillis);
        }
    }

    private record OpenRequest(RequestSpec spec, AttemptId attempt) {}

    private record FixedTargetDirectory(List<Target> allTargets) implements TargetDirectory {
        @Override
        public List<Target> targets(ServiceName service) {
            return allTargets;
        }

        @Override
        public Optional<Target> target(TargetId id) {
            return allTargets.stream().filter(target -> target.id().equals(id)).findFirst();
        }

        @Override
        public Optional<String> unavailableReason(TargetId id) {
            return Optional.empty();
        }
    }

    private static final class SingleRouterMembership implements MembershipView {
        private final RouterMember self =
                new RouterMember(new HostId("router"), "10.0.0.1:7000", REGION, new FailureDomain("domain-0"));

        @Override
        public RouterMember self() {
            return self;
        }

        @Override
        public List<RouterMember> liveMembers() {
            return List.of(self);
        }

        @Override
        public Optional<RouterMember> member(HostId host) {
            return host.equals(self.host()) ? Optional.of(self) : Optional.empty();
        }

        @Override
        public boolean isDead(HostId host) {
            return false;
        }

        @Override
        public boolean isLeaving() {
            return false;
        }

        @Override
        public List<RouterMember> rendezvousOrder(String key) {
            return List.of(self);
        }
    }
}
