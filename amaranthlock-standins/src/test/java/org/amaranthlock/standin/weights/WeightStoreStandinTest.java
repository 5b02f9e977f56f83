package org.amaranthlock.standin.weights;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthlock.standin.TestHttpClient;
import org.junit.jupiter.api.Test;

class WeightStoreStandinTest {
    // Guards against a store without a rate limit, with which the restart of many engines at once looks harmless.
    @Test
    void loadsAreRateLimited() throws IOException {
        AtomicLong clock = new AtomicLong();
        WeightStoreStandin store = new WeightStoreStandin("127.0.0.1", 0, 1, 1, 64, clock::get);
        store.start();
        try (TestHttpClient client = new TestHttpClient(store)) {
            assertThat(client.send("GET", "/weights/m1/1", "").body()).hasLength(64);
            assertThat(client.send("GET", "/weights/m1/1", "").status()).isEqualTo(429);
            clock.addAndGet(1_000);
            assertThat(client.send("GET", "/weights/m1/1", "").status()).isEqualTo(200);
        } finally {
            store.stop();
        }
    }
}
