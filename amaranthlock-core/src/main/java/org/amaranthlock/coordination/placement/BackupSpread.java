package org.amaranthlock.coordination.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.model.FailureDomain;

/**
 * Spreads the KV cache backups of a host over failure domains.
 *
 * <p>Load pattern: domains fail one after the other. If one holds most of the backups, they are lost with it, and the
 * streams whose engines fail next must all be prefilled again at once.
 */
public final class BackupSpread {
    private BackupSpread() {}

    /**
     * Returns the engines in domains that are not failing and hold less than an equal share of the host's backups.
     *
     * @param engines available engines in other domains than the stream's
     * @param ownBackups backups of this host by domain; domains without any may be missing
     * @param failing matches domains in which targets fail
     */
    public static List<EntryTarget> withinShares(
            List<EntryTarget> engines, Map<FailureDomain, Integer> ownBackups, Predicate<FailureDomain> failing) {
        Objects.requireNonNull(failing, "failing");
        Set<FailureDomain> domains =
                engines.stream().map(EntryTarget::failureDomain).collect(Collectors.toSet());
        domains.removeIf(failing);
        if (domains.isEmpty()) {
            return List.of();
        }
        Map<FailureDomain, Integer> backups = new HashMap<>(ownBackups);
        backups.keySet().retainAll(domains);
        int all = backups.values().stream().mapToInt(Integer::intValue).sum();
        int share = Math.ceilDiv(all + 1, domains.size());
        return engines.stream()
                .filter(engine -> domains.contains(engine.failureDomain()))
                .filter(engine -> backups.getOrDefault(engine.failureDomain(), 0) < share)
                .toList();
    }
}
