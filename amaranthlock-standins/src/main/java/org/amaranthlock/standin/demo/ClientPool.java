package org.amaranthlock.standin.demo;

import java.time.Duration;
import java.util.List;
import org.amaranthlock.standin.StreamingHttpClient;

/** HTTP clients for a list of server addresses. */
final class ClientPool implements AutoCloseable {
    /** Time limit for the response headers; clients are assumed to wait a few seconds at most. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);

    private final List<String> addresses;
    private final List<StreamingHttpClient> clients;

    ClientPool(List<String> addresses) {
        this.addresses = List.copyOf(addresses);
        this.clients = addresses.stream()
                .map(address -> new StreamingHttpClient(address, RESPONSE_TIMEOUT))
                .toList();
    }

    int size() {
        return clients.size();
    }

    String address(int index) {
        return addresses.get(Math.floorMod(index, addresses.size()));
    }

    /** Returns the client of a server. The index is taken modulo the number of servers. */
    StreamingHttpClient client(int index) {
        return clients.get(Math.floorMod(index, clients.size()));
    }

    @Override
    public void close() {
        clients.forEach(StreamingHttpClient::close);
    }
}
