package org.amaranthlock.coordination.request;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;

/** Selects the router that stores the checkpoint of a request. */
final class BackupRouterSelector {
    private static final int TOP_RANKED_CANDIDATES = 3;
    private static final int DOMAINS_PER_REGION = 2;

    private BackupRouterSelector() {}

    /**
     * Returns the backup router for a request of the given owner.
     *
     * <p>A router in another failure domain of the owner's region is preferred, then one in another failure domain of
     * any region, then any other router.
     */
    static Optional<RouterMember> select(MembershipView membership, String ledgerKey, RouterMember owner) {
        List<RouterMember> others = membership.rendezvousOrder(ledgerKey).stream()
                .filter(member -> !member.host().equals(owner.host()))
                .toList();
        return others.stream()
                .filter(member -> member.region().equals(owner.region()))
                .filter(member -> !member.failureDomain().equals(owner.failureDomain()))
                .findFirst()
                .or(() -> others.stream()
                        .filter(member -> !member.failureDomain().equals(owner.failureDomain()))
                        .findFirst())
                .or(() -> others.stream().findFirst());
    }

    /**
     * Returns the routers that may hold a checkpoint whose owner is unknown.
     *
     * <p>These are the first three routers in rendezvous order and, in every region, the first router of each of the
     * first two failure domains. Whatever the failure domain of the owner was, its backup router is among them,
     * provided that both routers have the same membership view.
     */
    static Set<RouterMember> candidates(MembershipView membership, String ledgerKey) {
        List<RouterMember> order = membership.rendezvousOrder(ledgerKey);
        HostId self = membership.self().host();
        Set<RouterMember> candidates = new LinkedHashSet<>();
        order.stream()
                .filter(member -> !member.host().equals(self))
                .limit(TOP_RANKED_CANDIDATES)
                .forEach(candidates::add);
        Map<Region, Set<FailureDomain>> seen = new LinkedHashMap<>();
        for (RouterMember member : order) {
            Set<FailureDomain> domains = seen.computeIfAbsent(member.region(), region -> new LinkedHashSet<>());
            if (domains.size() < DOMAINS_PER_REGION && domains.add(member.failureDomain())) {
                candidates.add(member);
            }
        }
        candidates.removeIf(member -> member.host().equals(self));
        return candidates;
    }
}
