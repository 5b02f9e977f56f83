package org.amaranthlock.coordination.forwarding;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthlock.model.TargetId;

/**
 * Builds the table of targets from lists and changes.
 *
 * <p>Entries lapse while the registry's store is away and return shortly after it. An entry that goes missing around
 * such a return therefore stays for {@link #REREGISTRATION_GRACE_MILLIS} and only then counts as gone. Not thread-safe.
 */
public final class TargetRegistry {
    /** Time within which living targets are registered again after the store's return, milliseconds. */
    public static final long REREGISTRATION_GRACE_MILLIS = 2_000;

    private final Map<TargetId, Registered> entries = new TreeMap<>();
    private final Map<TargetId, Long> missingSince = new LinkedHashMap<>();
    private long returnedAtMillis = Long.MIN_VALUE / 2;

    private record Registered(EntryTarget target, long revision) {}

    /**
     * Replaces all entries by a list.
     *
     * @param listed targets with the revision of their entries; entries that cannot be read are left out
     * @param afterOutage whether the store had not answered before
     */
    public void applyList(Map<EntryTarget, Long> listed, boolean afterOutage, long nowMillis) {
        if (afterOutage) {
            returnedAtMillis = nowMillis;
        }
        Map<TargetId, Registered> fresh = new TreeMap<>();
        listed.forEach((target, revision) -> fresh.put(target.id(), new Registered(target, revision)));
        for (TargetId id : List.copyOf(entries.keySet())) {
            if (!fresh.containsKey(id) && !missingSince.containsKey(id)) {
                missing(id, nowMillis);
            }
        }
        fresh.forEach((id, registered) -> {
            missingSince.remove(id);
            entries.put(id, registered);
        });
        expire(nowMillis);
    }

    /** Takes over one changed entry. */
    public void applyChange(EntryTarget target, long revision, long nowMillis) {
        Registered known = entries.get(target.id());
        if (known != null && known.revision() > revision) {
            return;
        }
        missingSince.remove(target.id());
        entries.put(target.id(), new Registered(target, revision));
        expire(nowMillis);
    }

    /** Takes over that an entry was removed, or no longer names a target. */
    public void applyRemoval(TargetId id, long revision, long nowMillis) {
        Registered known = entries.get(id);
        if (known != null && known.revision() <= revision) {
            missing(id, nowMillis);
        }
        expire(nowMillis);
    }

    /** Returns the targets that may be used now. */
    public TargetTable table(long nowMillis) {
        expire(nowMillis);
        return new TargetTable(entries.values().stream().map(Registered::target).toList());
    }

    /** Returns whether missing entries wait for their return. */
    public boolean hasPendingReregistrations() {
        return !missingSince.isEmpty();
    }

    private void missing(TargetId id, long nowMillis) {
        if (nowMillis - returnedAtMillis < REREGISTRATION_GRACE_MILLIS) {
            missingSince.put(id, returnedAtMillis);
        } else {
            entries.remove(id);
        }
    }

    private void expire(long nowMillis) {
        missingSince.entrySet().removeIf(entry -> {
            boolean gone = nowMillis - entry.getValue() >= REREGISTRATION_GRACE_MILLIS;
            if (gone) {
                entries.remove(entry.getKey());
            }
            return gone;
        });
    }
}
