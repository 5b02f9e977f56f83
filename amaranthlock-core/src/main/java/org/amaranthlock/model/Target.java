package org.amaranthlock.model;

import java.util.Objects;
import java.util.Set;

/**
 * A model engine or a plain service instance.
 *
 * @param id unique id
 * @param service the service that it implements
 * @param address IP number and port, {@code host:port}
 * @param region its region
 * @param failureDomain its failure domain
 * @param model name of the loaded model, empty for a plain service
 * @param version version of the loaded model, empty for a plain service
 * @param slots requests that it runs at a time
 * @param capabilities what it can do beyond executing requests
 */
public record Target(
        TargetId id,
        ServiceName service,
        String address,
        Region region,
        FailureDomain failureDomain,
        String model,
        String version,
        int slots,
        Set<Capability> capabilities) {
    public Target {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Arguments.requireText(address, "address");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        Arguments.requirePositive(slots, "slots");
        capabilities = Set.copyOf(capabilities);
    }

    /** Tells whether the target has a capability. */
    public boolean supports(Capability capability) {
        return capabilities.contains(capability);
    }
}
