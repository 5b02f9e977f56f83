package org.amaranthlock.router;

import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.HybridClock;
import org.amaranthlock.router.settings.RouterSettings;
import org.amaranthlock.transport.EventSink;

/** Builds the transports of a router process, without starting them. */
@FunctionalInterface
public interface TransportsFactory {
    /**
     * Builds the transports.
     *
     * @param self id of the process
     * @param settings its settings
     * @param events receiver of the transports' events
     * @param clock hybrid logical clock of the process; the peer transport sends and observes its time stamps
     */
    Transports create(HostId self, RouterSettings settings, EventSink events, HybridClock clock);
}
