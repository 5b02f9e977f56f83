package org.amaranthlock.standin.weights;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthlock.standin.TestHttpClient;
import org.junit.jupiter.api.Test;

class WeightStoreStandinTest {
    // Guards against a store without limit, behind which a mass restart looks harmless.
    @Test
    void loadsAreLimitedInRate() throws IOException {
        AtomicLong clock = new AtomicLong();
        WeightStoreStandin store = new WeightStoreStandin("127.0.0.1", 0, 1, 1, 64, clock::get);
        store.start();
        try (TestHttpClient caller = new TestHttpClient(store)) {
            assertThat(caller.send("GET", "/weights/m1/1", "").body()).hasLength(64);
            assertThat(caller.send("GET", "/weights/m1/1", "").status()).isEqualTo(429);
            clock.addAndGet(1_000);
            assertThat(caller.send("GET", "/weights/m1/1", "").status()).isEqualTo(200);
        } finally {
            store.stop();
        }
    }
}
