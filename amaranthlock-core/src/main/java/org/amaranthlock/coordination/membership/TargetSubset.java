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
    private static final int SIZE = 24;
    private static final int SPARES_IN_OTHER_REGIONS = 4;

    private TargetSubset() {}

    /** Returns the subset of each service, in order of id; leaving targets are chosen last. */
    static Map<ServiceName, List<Target>> choose(RouterMember self, List<Target> targets, TargetDrainState news) {
        Map<ServiceName, List<Target>> byService = new TreeMap<>();
        targets.forEach(target -> byService
                .computeIfAbsent(target.service(), key -> new ArrayList<>())
                .add(target));
        byService.replaceAll((service, group) -> chooseFrom(self, group, news));
        return byService;
    }

    private static List<Target> chooseFrom(RouterMember self, List<Target> group, TargetDrainState news) {
        List<Target> chosen = new ArrayList<>();
        if (group.size() <= SIZE) {
            chosen.addAll(group);
        } else {
            List<Target> order = new ArrayList<>(RendezvousOrder.order(
                    self.host().value(), group, target -> target.id().value()));
            order.sort(Comparator.comparing(target -> news.isDraining(target.id())));
            List<Target> near = new ArrayList<>();
            List<Target> far = new ArrayList<>();
            for (Target target : order) {
                boolean isNear = target.region().equals(self.region()) && !news.isDraining(target.id());
                (isNear ? near : far).add(target);
            }
            int fromFar = Math.max(SPARES_IN_OTHER_REGIONS, SIZE - near.size());
            int fromNear = Math.max(SIZE - far.size(), SIZE - fromFar);
            chosen.addAll(near.subList(0, Math.min(near.size(), fromNear)));
            chosen.addAll(far.subList(0, Math.min(far.size(), SIZE - chosen.size())));
        }
        chosen.sort(Comparator.comparing(Target::id));
        return List.copyOf(chosen);
    }
}
