package org.amaranthlock.bench.sim;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.HostId;

/** Membership view that does not change during a simulation. */
public final class StaticMembership implements MembershipView {
    private final RouterMember self;
    private final List<RouterMember> members;

    /** Creates the view that {@code self} has of the members. */
    public StaticMembership(RouterMember self, List<RouterMember> members) {
        this.self = Objects.requireNonNull(self, "self");
        this.members = List.copyOf(members);
    }

    @Override
    public RouterMember self() {
        return self;
    }

    @Override
    public List<RouterMember> liveMembers() {
        return members;
    }

    @Override
    public Optional<RouterMember> member(HostId host) {
        return members.stream().filter(member -> member.host().equals(host)).findFirst();
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
        return members.stream()
                .sorted(Comparator.comparingLong(member -> score(key, member)))
                .toList();
    }

    private static long score(String key, RouterMember member) {
        return Hashing.murmur3_128()
                .hashString(key + "@" + member.host(), StandardCharsets.UTF_8)
                .asLong();
    }
}
