package org.amaranthlock.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.coordination.configuration.ParsedEntry.AccountValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.ServiceValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.TargetValue;

/** Validates the references between configuration entries before a change is written. */
final class ConfigurationReferences {
    private ConfigurationReferences() {}

    /** Returns an error for each unresolvable reference of a new value and for an API key that is already in use. */
    static List<String> findUnresolved(ParsedEntry value, ConfigurationTable table) {
        List<String> errors = new ArrayList<>();
        switch (value) {
            case ServiceValue service -> {
                if (table.value("profile", service.profile()).isEmpty()) {
                    errors.add("key 'profile': there is no profile \"" + service.profile()
                            + "\"; write the entry profile/" + service.profile() + " first");
                }
            }
            case TargetValue target -> {
                String service = target.target().service().value();
                if (table.value("service", service).isEmpty()) {
                    errors.add("key 'service': there is no service \"" + service + "\"; write the entry service/"
                            + service + " first");
                }
            }
            case AccountValue account -> {
                AccountSettings other =
                        table.accountsByKey().get(account.account().keySha256());
                if (other != null && !other.id().equals(account.account().id())) {
                    errors.add("key 'key-sha256': account \"" + other.id()
                            + "\" has the same API key; use a different key");
                }
            }
            default -> {}
        }
        return errors;
    }

    /** Returns an error for each reference that the deletion of an entry would break. */
    static List<String> findBrokenByDeletion(String kind, String name, ConfigurationTable table) {
        List<String> errors = new ArrayList<>();
        for (ParsedEntry value : table.values()) {
            if (kind.equals("profile")
                    && value instanceof ServiceValue service
                    && service.profile().equals(name)) {
                errors.add("service \"" + service.name() + "\" uses the profile; change or delete that service first");
            }
            if (kind.equals("service")
                    && value instanceof TargetValue target
                    && target.target().service().value().equals(name)) {
                errors.add("target \"" + target.target().id() + "\" belongs to the service; delete that target first");
            }
        }
        return errors;
    }
}
