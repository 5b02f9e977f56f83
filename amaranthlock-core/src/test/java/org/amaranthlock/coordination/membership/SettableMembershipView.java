package org.amaranthlock.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.HostId;

/** {@link MembershipView} whose routers are set by a test. */
public final class SettableMembershipView implements MembershipView {
    private final RouterMember self;
    private List<RouterMember> live = List.of();
    private List<RouterMember> known = List.of();

    public SettableMembershipView(RouterMember self) {
        this.self = self;
    }

    /** Sets the live routers, and all routers that {@link #member} finds. */
    public void set(List<RouterMember> liveMembers, List<RouterMember> knownMembers) {
        live = liveMembers;
        known = knownMembers;
    }

    @Override
    public RouterMember self() {
        return self;
    }

    @Override
    public List<RouterMember> liveMembers() {
        return live;
    }

    @Override
    public Optional<RouterMember> member(HostId host) {
        return known.stream().filter(member -> member.host().equals(host)).findFirst();
    }

    @Override
    public boolean isDead(HostId host) {
        return member(host).isEmpty();
    }

    @Override
    public boolean isLeaving() {
        return false;
    }

    @Override
    public List<RouterMember> rendezvousOrder(String key) {
        return RendezvousOrder.order(key, live, member -> member.host().value());
    }
}
