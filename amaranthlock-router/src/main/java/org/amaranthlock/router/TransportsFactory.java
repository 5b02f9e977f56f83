package org.amaranthlock.router;

import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.HybridClock;
import org.amaranthlock.router.settings.RouterSettings;
import org.amaranthlock.transport.EventSink;

/** Factory for the transports of a router process. */
@FunctionalInterface
public interface TransportsFactory {
    /**
     * Creates the transports without starting them.
     *
     * @param self id of the process
     * @param settings its settings
     * @param events sink for the transports' events
     * @param clock hybrid logical clock of the process; the peer transport sends its timestamps and
     *     advances it by those that it receives
     */
    Transports create(HostId self, RouterSettings settings, EventSink events, HybridClock clock);
}
