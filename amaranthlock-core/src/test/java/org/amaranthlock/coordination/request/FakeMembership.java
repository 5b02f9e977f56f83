package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;

/** Membership view whose state a test sets; the rendezvous order is the order of the host ids. */
final class FakeMembership implements MembershipView {
    final List<RouterMember> members = new ArrayList<>();
    final Set<HostId> dead = new LinkedHashSet<>();
    private final HostId self;
    boolean leaving;

    FakeMembership(String self) {
        this.self = new HostId(self);
        for (int i = 0; i < 4; i++) {
            members.add(member("router-" + i, "domain-" + i));
        }
    }

    static RouterMember member(String host, String domain) {
        return new RouterMember(new HostId(host), "127.0.0.1:7000", RequestFixture.REGION, new FailureDomain(domain));
    }

    @Override
    public RouterMember self() {
        return members.stream().filter(m -> m.host().equals(self)).findFirst().orElseThrow();
    }

    @Override
    public List<RouterMember> liveMembers() {
        return members.stream()
                .filter(member -> !dead.contains(member.host()))
                .filter(member -> !leaving || !member.host().equals(self))
                .toList();
    }

    @Override
    public Optional<RouterMember> member(HostId host) {
        return liveMembers().stream()
                .filter(member -> member.host().equals(host))
                .findFirst();
    }

    @Override
    public boolean isDead(HostId host) {
        return dead.contains(host) || members.stream().noneMatch(m -> m.host().equals(host));
    }

    @Override
    public boolean isLeaving() {
        return leaving;
    }

    @Override
    public List<RouterMember> rendezvousOrder(String key) {
        return liveMembers().stream()
                .sorted(Comparator.comparing(RouterMember::host))
                .toList();
    }
}
