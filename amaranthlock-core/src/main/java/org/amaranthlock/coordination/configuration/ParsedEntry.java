package org.amaranthlock.coordination.configuration;

import java.util.Objects;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;

/** Value of a configuration entry after its text was checked. */
public sealed interface ParsedEntry {
    /** Treatment of a kind of work. */
    record ProfileValue(Profile profile) implements ParsedEntry {}

    /**
     * A service, with its profile by name.
     *
     * @param name the service
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

    /** An entry whose content other parts read, for example of the kinds model and routing. */
    record OpaqueValue(String text) implements ParsedEntry {}
}
