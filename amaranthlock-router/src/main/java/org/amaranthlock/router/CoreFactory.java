package org.amaranthlock.router;

import org.amaranthlock.model.HostId;
import org.amaranthlock.router.settings.RouterSettings;

/** Factory for the decision core of a router process. */
@FunctionalInterface
public interface CoreFactory {
    /**
     * Creates the decision core and its views.
     *
     * @param self id of the process
     * @param settings its settings
     * @param peerAddress IP address and port of its started peer transport
     * @param startMillis start time of the process on the router's clock, in milliseconds
     */
    CoreComponents create(HostId self, RouterSettings settings, String peerAddress, long startMillis);
}
