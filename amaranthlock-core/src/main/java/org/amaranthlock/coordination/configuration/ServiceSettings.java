package org.amaranthlock.coordination.configuration;

import java.util.Objects;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ServiceName;

/**
 * Configuration of a service.
 *
 * @param name the service
 * @param profile treatment of its requests on failure
 * @param generation whether its targets are model engines
 */
public record ServiceSettings(ServiceName name, Profile profile, boolean generation) {
    public ServiceSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(profile, "profile");
    }
}
