package org.amaranthlock.coordination.ledger;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;

/** Sends messages between ledger clients and partition owners, which may run on the same router. */
final class LedgerMessenger {
    private final MembershipView membership;

    LedgerMessenger(MembershipView membership) {
        this.membership = membership;
    }

    HostId self() {
        return membership.self().host();
    }

    /** Returns the routers that are live in this router's view. */
    Set<HostId> liveHosts() {
        return membership.liveMembers().stream().map(RouterMember::host).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the router that should own a partition according to this router's view. */
    HostId preferredOwner(int partition) {
        List<RouterMember> order = membership.rendezvousOrder(LedgerKeys.rendezvousKey(partition));
        return order.isEmpty() ? self() : order.getFirst().host();
    }

    void send(HostId to, PeerMessage message, List<Command> commands) {
        if (to.equals(self())) {
            commands.add(new Command.Raise(new Event.PeerReceived(to, message)));
        } else {
            membership
                    .member(to)
                    .ifPresent(member -> commands.add(new Command.SendPeer(to, member.address(), message)));
        }
    }
}
