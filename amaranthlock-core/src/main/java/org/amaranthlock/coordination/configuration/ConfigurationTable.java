package org.amaranthlock.coordination.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthlock.coordination.configuration.ParsedEntry.AccountValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.ProfileValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.ServiceValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.TargetValue;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;

/** Holds the configuration entries of this router; the revision of an entry never decreases. */
final class ConfigurationTable {
    private final Map<String, ConfigurationEntry> entries = new TreeMap<>();
    private final Map<String, ParsedEntry> values = new TreeMap<>();
    private final Map<ServiceName, ServiceSettings> services = new TreeMap<>();
    private final Map<AccountId, AccountSettings> accounts = new TreeMap<>();
    private final Map<String, AccountSettings> accountsByKey = new HashMap<>();
    private List<Target> targets = List.of();
    private boolean viewsOutdated;
    private long highestRevision;
    private long completeUpTo;
    private long highestCompleteRevision;
    private boolean complete;

    /**
     * Applies an entry if it is newer than the stored one.
     *
     * @return the error if the text of the entry is invalid, in which case the entry has no value in force
     */
    Optional<String> apply(ConfigurationEntry entry) {
        ConfigurationEntry stored = entries.get(entry.objectKey());
        if (stored != null && entry.revision() <= stored.revision()) {
            return Optional.empty();
        }
        entries.put(entry.objectKey(), entry);
        highestRevision = Math.max(highestRevision, entry.revision());
        viewsOutdated = true;
        values.remove(entry.objectKey());
        if (entry.version().text().isEmpty()) {
            return Optional.empty();
        }
        try {
            String text = entry.version().text().get();
            values.put(entry.objectKey(), ConfigurationParser.parse(entry.kind(), entry.name(), text));
            return Optional.empty();
        } catch (AmaranthlockException invalid) {
            return Optional.of(invalid.getMessage());
        }
    }

    /** Records that all entries up to a revision have been applied. */
    void markCompleteUpTo(long revision) {
        complete = true;
        completeUpTo = Math.max(completeUpTo, revision);
        for (ConfigurationEntry entry : entries.values()) {
            if (entry.revision() <= completeUpTo) {
                highestCompleteRevision = Math.max(highestCompleteRevision, entry.revision());
            }
        }
    }

    /** Returns whether this router has loaded all entries up to some revision. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the platform revision up to which no entry is missing. */
    long completeUpTo() {
        return completeUpTo;
    }

    /** Returns the highest revision of an entry up to which no entry is missing. */
    long highestCompleteRevision() {
        return highestCompleteRevision;
    }

    /** Returns the highest revision of an entry. */
    long highestRevision() {
        return highestRevision;
    }

    Optional<ConfigurationEntry> entry(String kind, String name) {
        return Optional.ofNullable(entries.get("config/" + kind + "/" + name));
    }

    Collection<ConfigurationEntry> entries() {
        return entries.values();
    }

    /** Returns the entries with a higher revision, in ascending order of revision. */
    List<ConfigurationEntry> entriesAfter(long revision) {
        List<ConfigurationEntry> newer = new ArrayList<>(entries.values());
        newer.removeIf(entry -> entry.revision() <= revision);
        newer.sort(Comparator.comparingLong(ConfigurationEntry::revision));
        return newer;
    }

    Collection<ParsedEntry> values() {
        return values.values();
    }

    Optional<ParsedEntry> value(String kind, String name) {
        return Optional.ofNullable(values.get("config/" + kind + "/" + name));
    }

    Map<ServiceName, ServiceSettings> services() {
        rebuildViews();
        return services;
    }

    Map<AccountId, AccountSettings> accounts() {
        rebuildViews();
        return accounts;
    }

    Map<String, AccountSettings> accountsByKey() {
        rebuildViews();
        return accountsByKey;
    }

    /** Returns the targets; the list is the same object as long as no target changes. */
    List<Target> targets() {
        rebuildViews();
        return targets;
    }

    private void rebuildViews() {
        if (!viewsOutdated) {
            return;
        }
        viewsOutdated = false;
        services.clear();
        accounts.clear();
        accountsByKey.clear();
        List<Target> newTargets = new ArrayList<>();
        for (ParsedEntry value : values.values()) {
            switch (value) {
                case ServiceValue service ->
                    profile(service.profile())
                            .ifPresent(profile -> services.put(
                                    service.name(),
                                    new ServiceSettings(service.name(), profile, service.generation())));
                case AccountValue account -> {
                    accounts.put(account.account().id(), account.account());
                    accountsByKey.putIfAbsent(account.account().keySha256(), account.account());
                }
                case TargetValue target -> newTargets.add(target.target());
                default -> {}
            }
        }
        newTargets.sort(Comparator.comparing(Target::id));
        // The target directory recomputes its subset whenever the list is a different object, which takes milliseconds
        // with thousands of targets, and most changes do not affect targets.
        if (!newTargets.equals(targets)) {
            targets = List.copyOf(newTargets);
        }
    }

    private Optional<Profile> profile(String name) {
        return value("profile", name).map(value -> value instanceof ProfileValue profile ? profile.profile() : null);
    }
}
