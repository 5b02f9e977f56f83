package org.amaranthlock.standin.demo;

import java.time.Duration;
import java.util.List;
import org.amaranthlock.standin.StreamingHttpClient;

/** The routers that callers know. */
final class ClientPool implements AutoCloseable {
    /** Time for the start of an answer; callers of the design page wait a few seconds at most. */
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

    /** Returns the client of a router; the index may be any number. */
    StreamingHttpClient client(int index) {
        return clients.get(Math.floorMod(index, clients.size()));
    }

    @Override
    public void close() {
        clients.forEach(StreamingHttpClient::close);
    }
}
