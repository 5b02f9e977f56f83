package org.amaranthlock.router;

import java.util.Objects;
import org.amaranthlock.transport.ObjectApiTransport;
import org.amaranthlock.transport.PeerTransport;
import org.amaranthlock.transport.TargetTransport;

/**
 * Holds the transports of one router process.
 *
 * @param platform transport to the platform's object API
 * @param targets transport to the targets
 * @param peers transport to the other routers
 */
public record Transports(ObjectApiTransport platform, TargetTransport targets, PeerTransport peers) {
    public Transports {
        Objects.requireNonNull(platform, "platform");
        Objects.requireNonNull(targets, "targets");
        Objects.requireNonNull(peers, "peers");
    }
}
