package org.amaranthlock.model;

import java.util.Objects;
import java.util.Set;

/**
 * Model engine or plain service instance that executes requests.
 *
 * @param id unique id
 * @param service the service that it implements
 * @param address IP address and port, {@code ip:port}
 * @param region its region
 * @param failureDomain its failure domain
 * @param model name of the loaded model, empty for a plain service
 * @param version version of the loaded model, empty for a plain service
 * @param slots maximum number of requests that it runs concurrently
 * @param capabilities optional capabilities
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

    /** Returns whether the target has a capability. */
    public boolean supports(Capability capability) {
        return capabilities.contains(capability);
    }
}
