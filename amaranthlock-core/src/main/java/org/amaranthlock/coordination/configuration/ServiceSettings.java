package org.amaranthlock.coordination.configuration;

import java.util.Objects;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ServiceName;

/**
 * Configuration of a service.
 *
 * @param name name of the service
 * @param profile execution and retry settings of its requests
 * @param generation whether its targets are model engines
 */
public record ServiceSettings(ServiceName name, Profile profile, boolean generation) {
    public ServiceSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(profile, "profile");
    }
}
