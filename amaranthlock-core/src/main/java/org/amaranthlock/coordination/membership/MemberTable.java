package org.amaranthlock.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.MemberUpdate;
import org.amaranthlock.protocol.peer.RouterState;

/** Holds the latest update of every other router and decides which update overrides which. */
final class MemberTable {
    /**
     * Retention of dead routers, so that outdated updates do not revive them and that they are contacted again after a
     * network partition.
     */
    static final long DEAD_RETENTION_MILLIS = 600_000;

    private final Map<HostId, MemberUpdate> members = new TreeMap<>();
    private final Map<HostId, Long> diedAt = new TreeMap<>();
    private long version;

    /** Returns a counter that increases whenever an update is applied. */
    long version() {
        return version;
    }

    Optional<MemberUpdate> find(HostId host) {
        return Optional.ofNullable(members.get(host));
    }

    /** Returns whether a router is known and not dead. */
    boolean isPresent(HostId host) {
        MemberUpdate update = members.get(host);
        return update != null && update.state() != RouterState.DEAD;
    }

    /** Returns the known routers that are not dead. */
    List<MemberUpdate> presentMembers() {
        List<MemberUpdate> result = new ArrayList<>();
        for (MemberUpdate update : members.values()) {
            if (update.state() != RouterState.DEAD) {
                result.add(update);
            }
        }
        return result;
    }

    List<MemberUpdate> deadMembers() {
        List<MemberUpdate> result = new ArrayList<>();
        for (HostId host : diedAt.keySet()) {
            result.add(members.get(host));
        }
        return result;
    }

    /** Applies an update unless it is outdated; returns whether it was applied. */
    boolean apply(MemberUpdate update, long nowMillis) {
        MemberUpdate known = members.get(update.host());
        if (known == null && update.state() == RouterState.DEAD) {
            return false;
        }
        if (known != null && !overrides(update, known)) {
            return false;
        }
        members.put(update.host(), update);
        if (update.state() == RouterState.DEAD) {
            diedAt.put(update.host(), nowMillis);
        } else {
            diedAt.remove(update.host());
        }
        version++;
        return true;
    }

    void removeExpiredDead(long nowMillis) {
        diedAt.entrySet().removeIf(entry -> {
            boolean expired = nowMillis - entry.getValue() >= DEAD_RETENTION_MILLIS;
            if (expired) {
                members.remove(entry.getKey());
            }
            return expired;
        });
    }

    private static boolean overrides(MemberUpdate update, MemberUpdate known) {
        if (update.refutation() != known.refutation()) {
            return update.refutation() > known.refutation();
        }
        return update.state().compareTo(known.state()) > 0;
    }
}
