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
 * Time and memory of the decisions about one request: admit, select, start, first tokens and completion.
 *
 * <p>A plain timed loop, because JMH's annotation processor is not available to an offline build: warm-up, then
 * several passes with their median over requests that were made beforehand; the result of each decision is used, so that it can't be optimised away.
 */
final class DecisionCost {
    private static final int[] TARGETS = {6, 12, 24, 48, 96};
    private static final int WARM_UP = 60_000;
    private static final int REQUESTS = 20_000;
    private static final int PASSES = 9;
    private static final int OPEN = 64;
    private static final int TOKENS = 8;
    private static final Region REGION = new Region("region-0");

    private final PrintWriter out;
    private final com.sun.management.ThreadMXBean threads =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    private long chosen;

    DecisionCost(PrintWriter out) {
        this.out = out;
    }

    void run() {
        for (int targets : TARGETS) {
            Decisions decisions = new Decisions(targets);
            decisions.pass(decisions.arrivals(WARM_UP));
        }
        out.println("admit + select + start + 2 x tokens + complete, " + OPEN + " requests open");
        out.println("targets   us/request   min us   max us   bytes/request");
        List<Slope.Point> micros = new ArrayList<>();
        for (int targets : TARGETS) {
            Decisions decisions = new Decisions(targets);
            decisions.pass(decisions.arrivals(REQUESTS));
            List<Double> passes = new ArrayList<>();
            long allocated = 0;
            for (int i = 0; i < PASSES; i++) {
                List<RequestSpec> arrivals = decisions.arrivals(REQUESTS);
                long before = threads.getCurrentThreadAllocatedBytes();
                long start = System.nanoTime();
                decisions.pass(arrivals);
                passes.add((System.nanoTime() - start) / 1_000.0 / REQUESTS);
                allocated += threads.getCurrentThreadAllocatedBytes() - before;
            }
            double bytes = (double) allocated / PASSES / REQUESTS;
            double median = Sample.median(passes);
            micros.add(new Slope.Point(targets, median));
            out.printf(
                    Locale.ROOT,
                    "%7d   %10.1f   %6.1f   %6.1f   %13.0f%n",
                    targets,
                    median,
                    passes.stream().mapToDouble(Double::doubleValue).min().orElse(0),
                    passes.stream().mapToDouble(Double::doubleValue).max().orElse(0),
                    bytes);
        }
        Slope slope = Slope.fit(micros);
        out.printf(
                Locale.ROOT,
                "line: %.2f us per target, %.1f us at 0, R2 %.3f; decisions used: %b%n",
                slope.slope(),
                slope.intercept(),
                slope.r2(),
                chosen > 0);
    }

    private final class Decisions {
        private final RequestSource source = new RequestSource(new FleetSize(1, 1, 100, 1, TOKENS, 0), 5);
        private final List<Target> targets = new ArrayList<>();
        private final DefaultTargetSelector selector;
        private final DefaultAdmissionController admission;
        private final List<Running> open = new ArrayList<>();
        private long nowMillis = 1_000_000;

        private Decisions(int count) {
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
            selector = new DefaultTargetSelector(new Directory(targets), REGION, random);
            admission = new DefaultAdmissionController(
                    selector,
                    new StaticConfiguration(List.of(), List.<AccountSettings>of(), targets),
                    new Alone(),
                    random);
        }

        /** Returns the requests of a pass, which are made before its time is taken. */
        private List<RequestSpec> arrivals(int count) {
            List<RequestSpec> specs = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                RequestSpec arrived = source.next(nowMillis + i + 1).spec();
                specs.add(new RequestSpec(
                        arrived.id(),
                        arrived.account(),
                        new ServiceName("service"),
                        arrived.profile(),
                        arrived.key(),
                        arrived.fingerprint(),
                        arrived.arrivedAtMillis(),
                        arrived.deadlineMillis(),
                        arrived.work()));
            }
            return specs;
        }

        private void pass(List<RequestSpec> arrivals) {
            for (RequestSpec spec : arrivals) {
                nowMillis += 1;
                begin(spec);
                if (open.size() >= OPEN) {
                    end(open.removeFirst());
                }
            }
        }

        private void begin(RequestSpec spec) {
            if (admission.admit(spec, nowMillis) instanceof AdmissionDecision.Admitted) {
                Target target = selector.select(spec, SelectionContext.forFirstAttempt(), nowMillis)
                        .orElseThrow();
                AttemptId attempt = new AttemptId(spec.id(), 1);
                selector.onAttemptStarted(attempt, spec, target, 0, nowMillis);
                open.add(new Running(spec, attempt));
                chosen++;
            }
        }

        private void end(Running running) {
            selector.onTokens(running.attempt(), 1, nowMillis);
            selector.onTokens(running.attempt(), TOKENS - 1, nowMillis + 1);
            admission.recordTokens(running.spec().id(), TOKENS, nowMillis);
            selector.onAttemptFinished(running.attempt(), TargetSelector.AttemptResult.SUCCEEDED, nowMillis);
            admission.recordCompletion(running.spec().id(), true, nowMillis);
        }
    }

    private record Running(RequestSpec spec, AttemptId attempt) {}

    private record Directory(List<Target> allTargets) implements TargetDirectory {
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

    private static final class Alone implements MembershipView {
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
