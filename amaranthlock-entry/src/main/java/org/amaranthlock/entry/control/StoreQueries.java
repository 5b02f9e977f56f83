package org.amaranthlock.entry.control;

import java.util.Objects;

/**
 * Components by which hosts read the store for one another.
 *
 * @param server responds to the queries of running hosts
 * @param client sends the queries of this host while it runs
 * @param fetchServer responds to queries for the configuration
 * @param startServer responds to the queries of starting hosts
 * @param start sends the queries of this host when it starts
 */
public record StoreQueries(
        PeerStoreServer server,
        PeerStoreClient client,
        ConfigurationFetchServer fetchServer,
        StartStateServer startServer,
        StartFromPeers start) {
    /** Checks that all components are present. */
    public StoreQueries {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(client, "client");
        Objects.requireNonNull(fetchServer, "fetch server");
        Objects.requireNonNull(startServer, "start server");
        Objects.requireNonNull(start, "start");
    }
}
