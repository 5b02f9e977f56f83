package org.amaranthlock.router;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.amaranthlock.coordination.NodeCore;
import org.amaranthlock.coordination.configuration.ConfigurationView;

/**
 * Decision core and its views, which are read on the control thread only.
 *
 * @param core the decision core
 * @param configuration the configuration in force
 * @param leaving tells whether the graceful shutdown has begun
 */
public record CoreParts(NodeCore core, ConfigurationView configuration, BooleanSupplier leaving) {
    public CoreParts {
        Objects.requireNonNull(core, "core");
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(leaving, "leaving");
    }
}
