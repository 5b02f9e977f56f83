package org.amaranthlock.standin.demo;

import java.time.Duration;
import java.util.List;
import org.amaranthlock.standin.StreamingHttpClient;

/** The routers that callers know. */
final class RouterPool implements AutoCloseable {
    /** Time for the start of an answer; callers of the design page wait a few seconds at most. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(4);

    private final List<String> addresses;
    private final List<StreamingHttpClient> callers;

    RouterPool(List<String> addresses) {
        this.addresses = List.copyOf(addresses);
        this.callers = addresses.stream()
                .map(address -> new StreamingHttpClient(address, ANSWER_TIMEOUT))
                .toList();
    }

    int size() {
        return callers.size();
    }

    String address(int index) {
        return addresses.get(Math.floorMod(index, addresses.size()));
    }

    /** Returns the client of a router; the index may be any number. */
    StreamingHttpClient caller(int index) {
        return callers.get(Math.floorMod(index, callers.size()));
    }

    @Override
    public void close() {
        callers.forEach(StreamingHttpClient::close);
    }
}
