package org.amaranthlock.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;

/** Chooses the targets that one router deals with, so that load reports form no full mesh. */
final class TargetSubset {
    private static final int SUBSET_SIZE = 24;
    private static final int MIN_OTHER_REGION_TARGETS = 4;

    private TargetSubset() {}

    /** Returns the subset of each service, in order of id; leaving targets are chosen last. */
    static Map<ServiceName, List<Target>> choose(RouterMember self, List<Target> targets, TargetDrainState drainState) {
        Map<ServiceName, List<Target>> byService = new TreeMap<>();
        targets.forEach(target -> byService
                .computeIfAbsent(target.service(), key -> new ArrayList<>())
                .add(target));
        byService.replaceAll((service, group) -> chooseFrom(self, group, drainState));
        return byService;
    }

    private static List<Target> chooseFrom(RouterMember self, List<Target> group, TargetDrainState drainState) {
        List<Target> chosen = new ArrayList<>();
        if (group.size() <= SUBSET_SIZE) {
            chosen.addAll(group);
        } else {
            List<Target> order = new ArrayList<>(RendezvousOrder.order(
                    self.host().value(), group, target -> target.id().value()));
            order.sort(Comparator.comparing(target -> drainState.isDraining(target.id())));
            List<Target> near = new ArrayList<>();
            List<Target> far = new ArrayList<>();
            for (Target target : order) {
                boolean isNear = target.region().equals(self.region()) && !drainState.isDraining(target.id());
                (isNear ? near : far).add(target);
            }
            int fromFar = Math.max(MIN_OTHER_REGION_TARGETS, SUBSET_SIZE - near.size());
            int fromNear = Math.max(SUBSET_SIZE - far.size(), SUBSET_SIZE - fromFar);
            chosen.addAll(near.subList(0, Math.min(near.size(), fromNear)));
            chosen.addAll(far.subList(0, Math.min(far.size(), SUBSET_SIZE - chosen.size())));
        }
        chosen.sort(Comparator.comparing(Target::id));
        return List.copyOf(chosen);
    }
}
