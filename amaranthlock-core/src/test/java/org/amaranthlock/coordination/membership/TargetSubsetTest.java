package org.amaranthlock.coordination.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.junit.jupiter.api.Test;

/** Guards against draining targets in a subset while others are available, and against a subset that is too small. */
class TargetSubsetTest {
    private static final ServiceName SERVICE = new ServiceName("engines");

    @Test
    void drainingTargetsOfTheRegionAreReplacedByTargetsOfOtherRegions() {
        TargetDrainState drainState = new TargetDrainState(() -> 1);
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            targets.add(target(i, i < 30 ? "near" : "far"));
        }
        targets.subList(0, 20).forEach(target -> drainState.recordObservation(target.id(), true, 1));

        List<Target> subset = TargetSubset.choose(router(), targets, drainState).get(SERVICE);

        assertThat(subset).hasSize(24);
        assertThat(subset).containsAtLeastElementsIn(targets.subList(20, 30));
        assertThat(subset.stream().noneMatch(target -> drainState.isDraining(target.id())))
                .isTrue();
    }

    private static RouterMember router() {
        return new RouterMember(
                new HostId("router"), "10.0.0.1:7000", new Region("near"), new FailureDomain("domain-0"));
    }

    private static Target target(int number, String region) {
        return new Target(
                new TargetId("target-" + number),
                SERVICE,
                "10.0.1." + number + ":8000",
                new Region(region),
                new FailureDomain("domain-" + number % 3),
                "model",
                "v1",
                8,
                Set.of());
    }
}
