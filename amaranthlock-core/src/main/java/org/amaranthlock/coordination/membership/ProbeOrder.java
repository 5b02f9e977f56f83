package org.amaranthlock.coordination.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.MemberUpdate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/** Shuffled round robin over the other routers, so that each is probed once per round. */
final class ProbeOrder {
    private final UniformRandomProvider random;
    private final Deque<HostId> waiting = new ArrayDeque<>();

    ProbeOrder(UniformRandomProvider random) {
        this.random = random;
    }

    /** Moves a router to the front of the round. */
    void first(HostId host) {
        waiting.remove(host);
        waiting.addFirst(host);
    }

    Optional<MemberUpdate> next(MemberTable table) {
        while (!waiting.isEmpty()) {
            HostId host = waiting.removeFirst();
            if (table.present(host)) {
                return table.find(host);
            }
        }
        List<MemberUpdate> round = new ArrayList<>(table.present());
        ListSampler.shuffle(random, round);
        round.forEach(member -> waiting.add(member.host()));
        return round.isEmpty() ? Optional.empty() : table.find(waiting.removeFirst());
    }
}
