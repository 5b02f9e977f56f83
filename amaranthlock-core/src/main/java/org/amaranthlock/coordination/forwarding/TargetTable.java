package org.amaranthlock.coordination.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/** Immutable snapshot of the known targets. */
public final class TargetTable {
    /** An empty table. */
    public static final TargetTable EMPTY = new TargetTable(List.of());

    private final Map<TargetId, EntryTarget> byId = new LinkedHashMap<>();
    private final Map<ServiceName, List<EntryTarget>> byService = new LinkedHashMap<>();

    /** Creates a table of the given targets. */
    public TargetTable(Collection<EntryTarget> targets) {
        for (EntryTarget target : targets) {
            byId.put(target.id(), target);
            byService.computeIfAbsent(target.service(), _ -> new ArrayList<>()).add(target);
        }
    }

    /** Returns the targets of a service, including draining ones. */
    public List<EntryTarget> targets(ServiceName service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns all targets. */
    public Collection<EntryTarget> targets() {
        return byId.values();
    }

    /** Returns the target with the given id. */
    public Optional<EntryTarget> target(TargetId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns whether the table contains this incarnation of a target. */
    public boolean contains(EntryTarget target) {
        EntryTarget known = byId.get(target.id());
        return known != null && known.isSameIncarnation(target);
    }
}
