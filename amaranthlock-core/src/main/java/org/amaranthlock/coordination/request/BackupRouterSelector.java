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

/** Tells which router keeps the checkpoint of a request. */
final class BackupRouterSelector {
    private static final int TOP_RANKED_CANDIDATES = 3;
    private static final int DOMAINS_PER_REGION = 2;

    private BackupRouterSelector() {}

    /** Returns the keeper for an owner's request: best in another failure domain of the same region. */
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
     * <p>Besides the first three these are the first of the first two failure domains of every region: whatever the
     * owner's domain was, its keeper is one of them if the views agree.
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
