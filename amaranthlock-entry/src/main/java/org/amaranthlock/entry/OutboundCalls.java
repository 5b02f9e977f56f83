package org.amaranthlock.entry;

import java.util.Objects;
import org.amaranthlock.entry.control.StreamVersionExchange;
import org.amaranthlock.entry.relay.RelayClient;
import org.amaranthlock.entry.target.PromptLocator;
import org.amaranthlock.entry.target.TargetConnectionPool;

/**
 * Calls that this host makes for its requests.
 *
 * @param connections connections to targets
 * @param promptLocator finds the engine that holds a prompt
 * @param relays passes requests to other hosts
 * @param streamVersions shares which versions began event streams
 */
record OutboundCalls(
        TargetConnectionPool connections,
        PromptLocator promptLocator,
        RelayClient relays,
        StreamVersionExchange streamVersions) {
    OutboundCalls {
        Objects.requireNonNull(connections, "connections");
        Objects.requireNonNull(promptLocator, "prompt locator");
        Objects.requireNonNull(relays, "relays");
        Objects.requireNonNull(streamVersions, "stream versions");
    }
}
