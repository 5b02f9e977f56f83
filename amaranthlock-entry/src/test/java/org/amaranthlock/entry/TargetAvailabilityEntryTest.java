package org.amaranthlock.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the complete daemon with workers that ask for a rest or say that they leave. */
class TargetAvailabilityEntryTest {
    private static final int REQUESTS = 40;

    /** Requests that may still reach a worker during the rest that it asked for. */
    private static final int ALLOWED_DURING_REST = 2;

    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    // Guards against requests that go on reaching a worker that has asked for a rest.
    @Test
    void restingWorkerGetsNoRequests() {
        fixture = new EntryFixture(2, 0);
        FleetWorker resting = fixture.desks.get(0);
        resting.askForRest(Optional.of("60"));
        callUntil(() -> resting.arrivalCount() > 0);
        int before = resting.arrivalCount();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(fixture.call("GET /look/x", "look" + i, "")).startsWith("HTTP/1.1 200");
        }
        assertThat(resting.arrivalCount() - before).isAtMost(ALLOWED_DURING_REST);
    }

    // Guards against a worker that is shut out for good after its rest.
    @Test
    void workerIsUsedAgainAfterItsRest() {
        fixture = new EntryFixture(1, 0);
        FleetWorker resting = fixture.desks.get(0);
        resting.askForRest(Optional.of("0.3"));
        fixture.call("GET /look/x", "first", "");
        resting.askForRest(Optional.empty());
        EntryFixture.await(() -> fixture.call("GET /look/x", "later", "").startsWith("HTTP/1.1 200"));
    }

    // Guards against clients that wait, or come back too early, while no worker takes a request.
    @Test
    void clientIsToldAtOnceWhenTheFirstRestEnds() {
        fixture = new EntryFixture(2, 0);
        fixture.desks.get(0).askForRest(Optional.of("60"));
        fixture.desks.get(1).askForRest(Optional.of("8"));
        IntStream.range(0, 4).forEach(i -> fixture.call("GET /look/x", "look" + i, ""));
        long startNanos = System.nanoTime();
        String response = fixture.call("POST /order/x", "order", "pallet");
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isLessThan(2_000);
        assertThat(response).startsWith("HTTP/1.1 503");
        double seconds =
                Double.parseDouble(response.split("(?i)retry-after: ")[1].split("\r\n")[0]);
        assertThat(seconds).isGreaterThan(4.0);
        assertThat(seconds).isLessThan(12.0);
    }

    // Guards against new requests at a worker that says that it leaves, while its registration says that it is ready.
    @Test
    void leavingWorkerGetsNoNewRequests() {
        fixture = new EntryFixture(2, 0);
        FleetWorker leaving = fixture.desks.get(0);
        leaving.announceLeaving();
        callUntil(() -> leaving.arrivalCount() > 0);
        fixture.store.put("servers", "desk-0", leaving.registration("desks", "b", "ready"));
        int before = leaving.arrivalCount();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(fixture.call("GET /look/x", "look" + i, "")).startsWith("HTTP/1.1 200");
        }
        assertThat(leaving.arrivalCount()).isEqualTo(before);
    }

    private void callUntil(BooleanSupplier reached) {
        int[] number = {0};
        EntryFixture.await(() -> {
            fixture.call("GET /look/x", "warm-up" + number[0]++, "");
            return reached.getAsBoolean();
        });
    }
}
