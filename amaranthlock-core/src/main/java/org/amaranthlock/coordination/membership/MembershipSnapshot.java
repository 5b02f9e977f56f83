package org.amaranthlock.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.MemberUpdate;
import org.amaranthlock.protocol.peer.RouterState;

/** Caches lists derived from the member table and rebuilds them only when the table has changed. */
final class MembershipSnapshot {
    private final RouterMember self;
    private final MemberTable table;
    private final Map<HostId, RouterMember> members = new TreeMap<>();
    private final RendezvousOrder.Cache rendezvousOrders = new RendezvousOrder.Cache();
    private List<RouterMember> liveMembers = List.of();
    private long builtVersion = -1;
    private boolean builtSelfLeaving;

    MembershipSnapshot(RouterMember self, MemberTable table) {
        this.self = self;
        this.table = table;
    }

    List<RouterMember> liveMembers(boolean selfLeaving) {
        rebuildIfChanged(selfLeaving);
        return liveMembers;
    }

    Optional<RouterMember> member(HostId host) {
        rebuildIfChanged(builtSelfLeaving);
        return Optional.ofNullable(members.get(host));
    }

    List<RouterMember> rendezvousOrder(String key, boolean selfLeaving) {
        rebuildIfChanged(selfLeaving);
        List<RouterMember> order = rendezvousOrders.get(key);
        if (order == null) {
            order = RendezvousOrder.order(
                    key, liveMembers, member -> member.host().value());
            rendezvousOrders.put(key, order);
        }
        return order;
    }

    private void rebuildIfChanged(boolean selfLeaving) {
        if (builtVersion == table.version() && builtSelfLeaving == selfLeaving) {
            return;
        }
        builtVersion = table.version();
        builtSelfLeaving = selfLeaving;
        members.clear();
        rendezvousOrders.clear();
        members.put(self.host(), self);
        List<RouterMember> live = new ArrayList<>();
        if (!selfLeaving) {
            live.add(self);
        }
        for (MemberUpdate update : table.presentMembers()) {
            RouterMember member =
                    new RouterMember(update.host(), update.address(), update.region(), update.failureDomain());
            members.put(update.host(), member);
            if (update.state() != RouterState.LEAVING) {
                live.add(member);
            }
        }
        live.sort(Comparator.comparing(RouterMember::host));
        liveMembers = List.copyOf(live);
    }
}
