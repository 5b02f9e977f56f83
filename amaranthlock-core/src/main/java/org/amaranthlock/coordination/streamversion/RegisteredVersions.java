package org.amaranthlock.coordination.streamversion;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Versions of the registered targets of each service, over time.
 *
 * <p>If one version only has been registered for longer than a stream lasts, every stream that may be resumed began at
 * it. What was registered before this host started is not known; that a target of the version already ran then is taken
 * for an answer. Not thread-safe.
 */
public final class RegisteredVersions {
    private final Map<ServiceName, Map<SoftwareVersion, Presence>> presences = new HashMap<>();

    /**
     * Registered target.
     *
     * @param runningMillis time since its start, in milliseconds; 0 if unknown
     */
    public record RegisteredTarget(ServiceName service, SoftwareVersion version, long runningMillis) {
        public RegisteredTarget {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(version, "version");
        }
    }

    /** Time during which a version was registered. */
    private static final class Presence {
        /** Start of its longest running target. */
        private long sinceMillis = Long.MAX_VALUE;

        /** Time at which it was found to be missing; meaningless while it is registered. */
        private long goneAtMillis;

        private boolean registered;
    }

    /** Replaces the registered targets. */
    public void update(Collection<RegisteredTarget> targets, long nowMillis) {
        presences
                .values()
                .forEach(versions -> versions.values().forEach(presence -> {
                    if (presence.registered) {
                        presence.goneAtMillis = nowMillis;
                        presence.registered = false;
                    }
                }));
        for (RegisteredTarget target : targets) {
            Presence presence = presences
                    .computeIfAbsent(target.service(), _ -> new HashMap<>())
                    .computeIfAbsent(target.version(), _ -> new Presence());
            presence.registered = true;
            presence.sinceMillis = Math.min(presence.sinceMillis, nowMillis - Math.max(0, target.runningMillis()));
        }
    }

    /**
     * Returns the only version at which a stream of a service can have begun.
     *
     * @param streamMillis time that a stream lasts at the most, in milliseconds
     */
    public Optional<SoftwareVersion> onlyVersion(ServiceName service, long streamMillis, long nowMillis) {
        Map<SoftwareVersion, Presence> versions = presences.getOrDefault(service, Map.of());
        List<SoftwareVersion> recent = versions.entrySet().stream()
                .filter(version ->
                        version.getValue().registered || nowMillis - version.getValue().goneAtMillis < streamMillis)
                .map(Map.Entry::getKey)
                .toList();
        if (recent.size() != 1) {
            return Optional.empty();
        }
        SoftwareVersion only = recent.getFirst();
        boolean longEnough = nowMillis - versions.get(only).sinceMillis >= streamMillis;
        return longEnough || only.equals(SoftwareVersion.UNKNOWN) ? Optional.of(only) : Optional.empty();
    }
}
