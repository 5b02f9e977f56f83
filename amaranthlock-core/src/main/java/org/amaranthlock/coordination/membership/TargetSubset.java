package org.amaranthlock.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;

/** Selects the targets that a router uses, so that load reports do not form a full mesh of routers and targets. */
final class TargetSubset {
    private static final int SUBSET_SIZE = 24;
    /** Keeps a subset from consisting of targets of a single region. */
    private static final int MIN_OTHER_REGION_TARGETS = 4;

    private TargetSubset() {}

    /** Returns the subset of each service, in order of id; draining targets are selected last. */
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
            List<Target> preferred = new ArrayList<>();
            List<Target> others = new ArrayList<>();
            for (Target target : order) {
                boolean isPreferred = target.region().equals(self.region()) && !drainState.isDraining(target.id());
                (isPreferred ? preferred : others).add(target);
            }
            int otherCount = Math.max(MIN_OTHER_REGION_TARGETS, SUBSET_SIZE - preferred.size());
            int preferredCount = Math.max(SUBSET_SIZE - others.size(), SUBSET_SIZE - otherCount);
            chosen.addAll(preferred.subList(0, Math.min(preferred.size(), preferredCount)));
            chosen.addAll(others.subList(0, Math.min(others.size(), SUBSET_SIZE - chosen.size())));
        }
        chosen.sort(Comparator.comparing(Target::id));
        return List.copyOf(chosen);
    }
}
