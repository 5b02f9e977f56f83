package org.amaranthlock.coordination.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.model.Work;
import org.amaranthlock.state.TargetDirectory;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class DefaultTargetSelectorTest {
    private static final ServiceName SERVICE = new ServiceName("generations");
    private static final Region LOCAL_REGION = new Region("region-0");
    private static final long NOW = 10_000;

    private static final int SLOTS = 8;

    private final List<Target> targets = new ArrayList<>();

    /** Guards against resumes that queue in the local region while targets of other regions have free slots. */
    @Test
    void resumesGoToFreeTargetsOfOtherRegions() {
        Target localTarget = target(0, "region-0");
        Target firstRemoteTarget = target(1, "region-1");
        Target secondRemoteTarget = target(2, "region-2");
        DefaultTargetSelector selector = selector(1);
        report(selector, localTarget, 5);
        report(selector, firstRemoteTarget, 2);
        report(selector, secondRemoteTarget, 2);

        Map<TargetId, Integer> chosen = chosenForResume(selector, 100);

        assertThat(chosen.getOrDefault(localTarget.id(), 0)).isLessThan(20);
    }

    /**
     * Guards against routers that lose streams at the same time and all resume them on the target with the lowest
     * reported load.
     */
    @Test
    void resumesOfManyRoutersSpreadOverEquallyLoadedTargets() {
        for (int i = 0; i < 10; i++) {
            target(i, "region-" + i % 3);
        }
        Map<TargetId, Integer> chosen = new LinkedHashMap<>();
        for (int router = 0; router < 100; router++) {
            DefaultTargetSelector selector = selector(router);
            targets.forEach(target -> report(
                    selector, target, target.id().equals(targets.getFirst().id()) ? 3 : 4));
            chosenForResume(selector, 1).forEach((id, count) -> chosen.merge(id, count, Integer::sum));
        }

        assertThat(chosen.values().stream().mapToInt(Integer::intValue).max().orElseThrow())
                .isLessThan(40);
    }

    /** Guards against several prefills of one router that queue behind each other on one target. */
    @Test
    void nextResumeAvoidsTheTargetThatIsStillPrefilling() {
        target(0, "region-0");
        target(1, "region-0");
        int sameTargetCount = 0;
        for (int router = 0; router < 100; router++) {
            DefaultTargetSelector selector = selector(router);
            Target first = choose(selector, resume()).orElseThrow();
            selector.onAttemptStarted(new AttemptId(new RequestId("00-lost"), 2), spec(), first, 50, NOW);
            Target second = choose(selector, resume()).orElseThrow();
            sameTargetCount += first.equals(second) ? 1 : 0;
        }

        assertThat(sameTargetCount).isLessThan(20);
    }

    /**
     * Guards against short requests that queue behind a prefill which this router has just started on the same target.
     */
    @Test
    void newRequestAvoidsTheTargetThatIsStillPrefilling() {
        Target prefilling = target(0, "region-0");
        Target other = target(1, "region-0");
        DefaultTargetSelector selector = selector(1);
        report(selector, other, 2);
        selector.onAttemptStarted(new AttemptId(new RequestId("00-first"), 1), spec(), prefilling, 0, NOW);

        assertThat(choose(selector, SelectionContext.forFirstAttempt())).hasValue(other);
    }

    /**
     * Guards against routers that all fill the same free slots after one delayed report, and none after a report of
     * full targets.
     */
    @Test
    void routersWithEqualLoadShareFullTargetsEqually() {
        DefaultTargetSelector selector = loadedSelector(12, 8);

        // 9.5 attempts for the 8 slots of each of 12 targets, shared by 8 routers; a report of full targets changes
        // nothing.
        assertThat(selector.slotShare(SERVICE, 8, NOW)).isWithin(0.01).of(12 * 9.5 / 8);
    }

    /** Guards against slots that stay idle because a router without load keeps its share. */
    @Test
    void routerThatHasAllTheLoadGetsNearlyAllSlots() {
        DefaultTargetSelector selector = loadedSelector(12, 1);

        assertThat(selector.slotShare(SERVICE, 8, NOW)).isGreaterThan(12 * 9.5 * 0.6);
    }

    /** Guards against treating a request in a target's queue as lost, which retries it behind the other requests. */
    @Test
    void firstTokenOfAFullTargetIsExpectedLater() {
        Target free = target(0, "region-0");
        Target full = target(1, "region-0");
        DefaultTargetSelector selector = selector(1);
        report(selector, free, 1);
        report(selector, full, 12);
        choose(selector, SelectionContext.forFirstAttempt());

        double freeMillis = selector.expectedFirstTokenMillis(spec(), free.id(), 0);
        double fullMillis = selector.expectedFirstTokenMillis(spec(), full.id(), 0);

        // Eight requests are queued or in transit; with 5 s per request and 8 slots they take 5 s.
        assertThat(fullMillis - freeMillis).isWithin(1).of(5_000);
    }

    /**
     * Returns a selector with one attempt at each target, where the given number of attempts is reported as running.
     */
    private DefaultTargetSelector loadedSelector(int targetCount, int running) {
        DefaultTargetSelector selector = selector(1);
        for (int i = 0; i < targetCount; i++) {
            Target target = target(i, "region-0");
            selector.onAttemptStarted(new AttemptId(new RequestId("00-r" + i), 1), spec(), target, 0, 0);
            report(selector, target, running);
        }
        return selector;
    }

    private Map<TargetId, Integer> chosenForResume(DefaultTargetSelector selector, int times) {
        Map<TargetId, Integer> chosen = new LinkedHashMap<>();
        for (int i = 0; i < times; i++) {
            chosen.merge(choose(selector, resume()).orElseThrow().id(), 1, Integer::sum);
        }
        return chosen;
    }

    private static Optional<Target> choose(DefaultTargetSelector selector, SelectionContext context) {
        return selector.select(spec(), context, NOW);
    }

    private static SelectionContext resume() {
        return new SelectionContext(Set.of(), Optional.empty(), "v1", 50, false);
    }

    private static void report(DefaultTargetSelector selector, Target target, int running) {
        selector.onTargetEvent(new TargetEvent.LoadReported(target.id(), running, 0, 2_000), NOW);
    }

    private Target target(int index, String region) {
        Target target = new Target(
                new TargetId("engine-%02d".formatted(index)),
                SERVICE,
                "10.0.0." + (index + 1) + ":8000",
                new Region(region),
                new FailureDomain(region + "-a"),
                "model-1",
                "v1",
                SLOTS,
                Set.of(Capability.ATTACH, Capability.RESUME));
        targets.add(target);
        return target;
    }

    private DefaultTargetSelector selector(long seed) {
        return new DefaultTargetSelector(
                new FixedTargets(targets), LOCAL_REGION, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }

    private static RequestSpec spec() {
        return new RequestSpec(
                new RequestId("00-r1"),
                new AccountId("account"),
                SERVICE,
                new Profile("kept", ProfileKind.KEPT_ALIVE, 6, 0, 600_000),
                Optional.empty(),
                1,
                0,
                90_000,
                new Work.Generation("model-1", "", "prompt", List.of(), 1_000, 1));
    }

    /** Target directory in which all targets are available. */
    private record FixedTargets(List<Target> allTargets) implements TargetDirectory {
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
}
