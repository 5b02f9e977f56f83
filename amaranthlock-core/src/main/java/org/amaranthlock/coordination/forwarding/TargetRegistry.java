package org.amaranthlock.coordination.forwarding;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.amaranthlock.model.TargetId;

/**
 * Builds the table of targets from full lists and individual changes of the store.
 *
 * <p>The entries of targets expire while the store is unavailable, and targets register again shortly after it
 * recovers. An entry that is missing around such a recovery is therefore kept for {@link #REREGISTRATION_GRACE_MILLIS}
 * before it is removed.
 *
 * <p>The entry of a crashed target stays until it expires, while a new target already runs at the same address. The
 * entry that was written last describes the target that runs; the others are left out of the table. Not thread-safe.
 */
public final class TargetRegistry {
    /** Time within which available targets register again after the store has recovered, in milliseconds. */
    public static final long REREGISTRATION_GRACE_MILLIS = 2_000;

    private final Mechanisms mechanisms;
    private final Map<TargetId, RegistryEntry> entries = new TreeMap<>();

    /** Start of the grace period by id of each missing entry. */
    private final Map<TargetId, Long> missingEntries = new LinkedHashMap<>();

    private long storeRecoveredAtMillis = Long.MIN_VALUE / 2; // half, so that the age does not overflow

    private record RegistryEntry(EntryTarget target, long revision) {}

    /** Creates an empty registry. */
    public TargetRegistry(Mechanisms mechanisms) {
        this.mechanisms = Objects.requireNonNull(mechanisms, "mechanisms");
    }

    /**
     * Replaces all entries with a list.
     *
     * @param listed targets with the revision of their entries; entries that cannot be decoded are omitted
     * @param afterOutage whether the store was unavailable before
     */
    public void applyList(Map<EntryTarget, Long> listed, boolean afterOutage, long nowMillis) {
        if (afterOutage) {
            storeRecoveredAtMillis = nowMillis;
        }
        Map<TargetId, RegistryEntry> updated = new TreeMap<>();
        listed.forEach((target, revision) -> updated.put(target.id(), new RegistryEntry(target, revision)));
        for (TargetId id : List.copyOf(entries.keySet())) {
            if (!updated.containsKey(id) && !missingEntries.containsKey(id)) {
                removeOrMarkMissing(id, nowMillis);
            }
        }
        updated.forEach((id, registered) -> {
            missingEntries.remove(id);
            entries.put(id, registered);
        });
        expire(nowMillis);
    }

    /** Applies a change of one entry. */
    public void applyChange(EntryTarget target, long revision, long nowMillis) {
        RegistryEntry known = entries.get(target.id());
        if (known != null && known.revision() > revision) {
            return;
        }
        missingEntries.remove(target.id());
        entries.put(target.id(), new RegistryEntry(target, revision));
        expire(nowMillis);
    }

    /** Applies the removal of an entry, or a change after which it no longer describes a target. */
    public void applyRemoval(TargetId id, long revision, long nowMillis) {
        RegistryEntry known = entries.get(id);
        if (known != null && known.revision() <= revision) {
            removeOrMarkMissing(id, nowMillis);
        }
        expire(nowMillis);
    }

    /** Returns the table of the current targets. */
    public TargetTable table(long nowMillis) {
        expire(nowMillis);
        Collection<RegistryEntry> current =
                mechanisms.uses(Mechanism.ADDRESS_SUCCESSION) ? latestByAddress() : entries.values();
        return new TargetTable(current.stream().map(RegistryEntry::target).toList());
    }

    /** Returns whether entries are missing whose targets may still register again within the grace period. */
    public boolean hasPendingReregistrations() {
        return !missingEntries.isEmpty();
    }

    private Collection<RegistryEntry> latestByAddress() {
        Map<String, RegistryEntry> latest = new LinkedHashMap<>();
        for (RegistryEntry entry : entries.values()) {
            latest.merge(
                    entry.target().authority(),
                    entry,
                    (one, other) -> one.revision() >= other.revision() ? one : other);
        }
        return latest.values();
    }

    private void removeOrMarkMissing(TargetId id, long nowMillis) {
        if (nowMillis - storeRecoveredAtMillis < REREGISTRATION_GRACE_MILLIS) {
            missingEntries.put(id, storeRecoveredAtMillis);
            // Any later change counts: the revisions of a store that came back from an older copy are lower.
            entries.computeIfPresent(id, (_, entry) -> new RegistryEntry(entry.target(), Long.MIN_VALUE));
        } else {
            entries.remove(id);
        }
    }

    private void expire(long nowMillis) {
        missingEntries.entrySet().removeIf(entry -> {
            boolean expired = nowMillis - entry.getValue() >= REREGISTRATION_GRACE_MILLIS;
            if (expired) {
                entries.remove(entry.getKey());
            }
            return expired;
        });
    }
}
