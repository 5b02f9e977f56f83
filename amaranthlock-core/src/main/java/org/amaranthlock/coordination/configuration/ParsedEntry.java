package org.amaranthlock.coordination.configuration;

import java.util.Objects;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;

/** Validated value of a configuration entry. */
public sealed interface ParsedEntry {
    /** A profile: how requests are executed and retried. */
    record ProfileValue(Profile profile) implements ParsedEntry {}

    /**
     * A service, which refers to its profile by name.
     *
     * @param name name of the service
     * @param profile name of the profile entry
     * @param generation whether its targets are model engines
     */
    record ServiceValue(ServiceName name, String profile, boolean generation) implements ParsedEntry {
        public ServiceValue {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(profile, "profile");
        }
    }

    /** A client account. */
    record AccountValue(AccountSettings account) implements ParsedEntry {}

    /** A target. */
    record TargetValue(Target target) implements ParsedEntry {}

    /** An entry whose content other components parse, for example of the kinds model and routing. */
    record OpaqueValue(String text) implements ParsedEntry {}
}
