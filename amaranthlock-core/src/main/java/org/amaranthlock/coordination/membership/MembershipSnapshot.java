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

/** Lists derived from the member table, rebuilt only when the table has changed. */
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
        refresh(selfLeaving);
        return liveMembers;
    }

    Optional<RouterMember> member(HostId host) {
        refresh(builtSelfLeaving);
        return Optional.ofNullable(members.get(host));
    }

    List<RouterMember> rendezvousOrder(String key, boolean selfLeaving) {
        refresh(selfLeaving);
        List<RouterMember> order = rendezvousOrders.get(key);
        if (order == null) {
            order = RendezvousOrder.order(
                    key, liveMembers, member -> member.host().value());
            rendezvousOrders.put(key, order);
        }
        return order;
    }

    private void refresh(boolean selfLeaving) {
        if (builtVersion == table.version() && builtSelfLeaving == selfLeaving) {
            return;
        }
        builtVersion = table.version();
        builtSelfLeaving = selfLeaving;
        members.clear();
        rendezvousOrders.clear();
        members.put(self.host(), self);
        List<RouterMember> alive = new ArrayList<>();
        if (!selfLeaving) {
            alive.add(self);
        }
        for (MemberUpdate update : table.present()) {
            RouterMember member =
                    new RouterMember(update.host(), update.address(), update.region(), update.failureDomain());
            members.put(update.host(), member);
            if (update.state() != RouterState.LEAVING) {
                alive.add(member);
            }
        }
        alive.sort(Comparator.comparing(RouterMember::host));
        liveMembers = List.copyOf(alive);
    }
}
