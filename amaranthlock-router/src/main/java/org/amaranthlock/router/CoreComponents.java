package org.amaranthlock.router;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.amaranthlock.coordination.NodeCore;
import org.amaranthlock.coordination.configuration.ConfigurationView;

/**
 * Holds the decision core and its views, which may be read on the control thread only.
 *
 * @param core the decision core
 * @param configuration the configuration in force
 * @param draining returns whether the graceful shutdown has begun
 */
public record CoreComponents(NodeCore core, ConfigurationView configuration, BooleanSupplier draining) {
    public CoreComponents {
        Objects.requireNonNull(core, "core");
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(draining, "draining");
    }
}
