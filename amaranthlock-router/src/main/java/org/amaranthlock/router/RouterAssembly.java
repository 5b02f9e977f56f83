package org.amaranthlock.router;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.router.settings.RouterSettings;

/**
 * Joins decision core and transports into a router process.
 *
 * @param core builds the decision core
 * @param transports builds the transports
 */
public record RouterAssembly(CoreFactory core, TransportsFactory transports) {
    public RouterAssembly {
        Objects.requireNonNull(core, "core");
        Objects.requireNonNull(transports, "transports");
    }

    /**
     * Returns the assembly that the daemon uses.
     *
     * @throws AmaranthlockException if this build contains no decision core
     */
    public static RouterAssembly standard() {
        return Optional.<RouterAssembly>empty()
                .orElseThrow(() -> new AmaranthlockException(
                        ErrorCode.INTERNAL,
                        "This build contains no decision core and no transports; use a complete build."));
    }

    /**
     * Returns a process that is not started yet.
     *
     * @param settings settings of the process
     * @param onFailure ends the process after an unexpected exception on the control thread
     */
    public RouterProcess process(RouterSettings settings, Runnable onFailure) {
        return new RouterProcess(settings, this, onFailure);
    }
}
