package org.amaranthlock.entry;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.util.RawValue;
import java.util.stream.Stream;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the complete daemon with a registration of another writer that names no usable worker. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class OddRegistrationTest {
    private static final int REQUESTS = 10;

    private final EntryFixture fixture = new EntryFixture(1, 0);
    private int requests;

    @AfterEach
    void close() {
        fixture.close();
    }

    // Guards against one odd entry that ends the watch of all others, so that requests go on to a worker that has left,
    // and against a host that never becomes ready while such an entry stays.
    @ParameterizedTest(name = "{0}")
    @MethodSource("oddRegistrations")
    void runningAndStartingHostsFollowTheOtherRegistrations(String what, String name, String spec) {
        fixture.store.put("servers", name, JsonNodeFactory.instance.rawValueNode(new RawValue(spec)));
        FleetWorker left = fixture.desks.getFirst();
        FleetWorker second = fixture.addDesk("desk-second", "v1");
        fixture.store.put("servers", "desk-0", left.registration("desks", "a", "draining"));
        awaitServedBy(second);
        fixture.restart();
        awaitServedBy(second);
        FleetWorker third = fixture.addDesk("desk-third", "v1");
        fixture.store.remove("servers", "desk-second");
        awaitServedBy(third);
    }

    /** Waits until one worker serves several requests in a row; each request is served. */
    private void awaitServedBy(FleetWorker worker) {
        EntryFixture.await(() -> {
            int before = worker.executedRequests().size();
            for (int i = 0; i < REQUESTS; i++) {
                call();
            }
            return worker.executedRequests().size() - before == REQUESTS;
        });
    }

    private void call() {
        String id = "r" + requests++;
        assertWithMessage("response to %s", id)
                .that(fixture.call("GET /look/x", id, ""))
                .endsWith("done " + id);
    }

    static Stream<Arguments> oddRegistrations() {
        return Stream.of(
                Arguments.of("no IP", "odd", registration("\" :8080\"", "6")),
                Arguments.of("host name", "odd", registration("\"localhost.invalid:8080\"", "6")),
                Arguments.of("port out of range", "odd", registration("\"127.0.0.1:65536\"", "6")),
                Arguments.of("port of many digits", "odd", registration("\"127.0.0.1:" + "9".repeat(40) + "\"", "6")),
                Arguments.of("deep nesting", "odd", registration("\"127.0.0.1:8080\"", nested(100_000))),
                Arguments.of("nesting at the top", "odd", nested(1_500)),
                Arguments.of("long number", "odd", registration("\"127.0.0.1:8080\"", "9".repeat(1_100))),
                Arguments.of("large number", "odd", registration("\"127.0.0.1:8080\"", "9".repeat(30))),
                Arguments.of("infinite number", "odd", registration("\"127.0.0.1:8080\"", "1e999")),
                Arguments.of("large exponent", "odd", registration("\"127.0.0.1:8080\"", "1e999999999")),
                Arguments.of("long field name", "odd", "{\"" + "n".repeat(60_000) + "\":1}"),
                Arguments.of("control character in the id", "odd\u0001\r\nid", registration("\"127.0.0.1:1\"", "6")),
                Arguments.of("blank id", " ", registration("\"127.0.0.1:1\"", "6")),
                Arguments.of("no object", "odd", "\"text\""));
    }

    private static String registration(String address, String slots) {
        return "{\"service\":\"desks\",\"address\":" + address
                + ",\"zone\":\"a\",\"version\":\"v1\",\"state\":\"ready\"," + "\"slots\":" + slots
                + ",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}";
    }

    private static String nested(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }
}
