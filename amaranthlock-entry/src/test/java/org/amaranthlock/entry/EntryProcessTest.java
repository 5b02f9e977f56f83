package org.amaranthlock.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.amaranthlock.standin.fleet.ExecutedRequest;
import org.amaranthlock.standin.fleet.FleetStore;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.amaranthlock.standin.fleet.OperatorConfiguration;
import org.amaranthlock.standin.fleet.StoreMode;
import org.amaranthlock.standin.fleet.WorkerFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the complete daemon with raw socket clients and with simulated workers and a store that violate the protocol.
 */
class EntryProcessTest {
    /** Interval between the events of a stream that lasts much longer than a disconnect takes to be noticed. */
    private static final long SLOW_EVENT_MILLIS = 300;

    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void rejectsRequestWhenNoTargetIsRegistered() {
        fixture = new EntryFixture(0, 0);
        assertThat(fixture.call("GET /look/x", "r1", "")).startsWith("HTTP/1.1 503");
    }

    @Test
    void forwardsResponseAndSendsAccountToWorker() {
        fixture = new EntryFixture(1, 0);
        String response = fixture.call("POST /order/x?q=1", "r1", "pallet");
        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(response).endsWith("done r1");
        ExecutedRequest execution = fixture.executions("r1").getFirst();
        assertThat(execution.requestLine()).isEqualTo("POST /order/x?q=1 HTTP/1.1");
        assertThat(execution.body()).isEqualTo("pallet");
        assertThat(execution.headers()).containsEntry("x-tenant", "shop-1");
        assertThat(execution.headers()).doesNotContainKey("authorization");
    }

    @Test
    void rejectsUnknownKeyAndRoute() {
        fixture = new EntryFixture(1, 0);
        assertThat(fixture.call("GET /look/x", "r1", "", "other")).startsWith("HTTP/1.1 401");
        assertThat(fixture.call("GET /none/x", "r1", "")).startsWith("HTTP/1.1 404");
    }

    // Guards against at-most-once requests that run twice after a worker fault.
    @Test
    void orderRunsAtMostOnceUnderEachFault() {
        fixture = new EntryFixture(2, 0);
        for (WorkerFault fault : WorkerFault.values()) {
            fixture.desks.forEach(desk -> desk.injectFault(fault));
            String id = "order-" + fault;
            String response = fixture.call("POST /order/x", id, "pallet");
            assertWithMessage("executions under %s", fault)
                    .that(fixture.executions(id).size())
                    .isAtMost(1);
            boolean reportedNotRun = response.startsWith("HTTP/1.1 503") || response.startsWith("HTTP/1.1 429");
            if (reportedNotRun) {
                assertWithMessage("executions of a request reported as not run under %s", fault)
                        .that(fixture.executions(id))
                        .isEmpty();
            }
            if (response.startsWith("HTTP/1.1 200")) {
                assertCompleteOrBrokenOff(fault, response, "done " + id);
            }
            clearFaults();
        }
    }

    /** A stream of a worker goes through as it comes; one that never ends must not look complete. */
    private static void assertCompleteOrBrokenOff(WorkerFault fault, String response, String completeEnd) {
        if (fault == WorkerFault.ENDLESS_STREAM) {
            assertWithMessage("response under %s", fault).that(response).doesNotContain("\r\n0\r\n\r\n");
        } else {
            assertWithMessage("response under %s", fault).that(response).endsWith(completeEnd);
        }
    }

    // Guards against corrupt or truncated responses that reach a client as a success.
    @Test
    void lookupSucceedsUnderEachFaultOfFirstWorker() {
        fixture = new EntryFixture(2, 0);
        for (WorkerFault fault : WorkerFault.values()) {
            clearFaults();
            fixture.desks.get(0).injectFault(fault);
            String id = "look-" + fault;
            assertWithMessage("response under %s", fault)
                    .that(fixture.call("GET /look/x", id, ""))
                    .endsWith("done " + id);
        }
    }

    // Guards against a worker reading the next request as the rest of a body, after it responded before the body's end.
    @Test
    void earlyRespondingWorkerReceivesCompleteBodyOnly() {
        fixture = new EntryFixture(1, 0);
        String large = "pallet ".repeat(100_000);
        fixture.desks.getFirst().injectFault(WorkerFault.EARLY_RESPONSE);
        assertThat(fixture.call("POST /order/x", "early", large)).endsWith("done early");
        assertThat(fixture.call("POST /order/x", "next", "pallet")).endsWith("done next");
        EntryFixture.await(() -> fixture.executions("early").size() == 1);
        assertThat(fixture.executions("early").getFirst().body()).isEqualTo(large);
        assertThat(fixture.executions("next").getFirst().body()).isEqualTo("pallet");
    }

    // Guards against a poison request that crashes one engine after the other.
    @Test
    void stopsSendingRequestThatCrashesEngines() {
        fixture = new EntryFixture(0, 6);
        fixture.engines.forEach(engine -> engine.injectFault(WorkerFault.CRASH));
        fixture.call("POST /draft/x", "poison", "prompt");
        assertThat(fixture.executions("poison").size()).isAtLeast(3);
        EntryFixture.await(
                () -> fixture.call("POST /draft/x", "poison", "prompt").contains("crashes-targets"));
        fixture.engines.forEach(FleetWorker::stop);
        fixture.engines.forEach(FleetWorker::start);
        assertThat(EntryFixture.events(fixture.call("POST /draft/x", "s1", "other")))
                .isEqualTo(completeStream("other"));
        assertThat(fixture.call("POST /draft/x", "again", "prompt")).startsWith("HTTP/1.1 502");
        assertThat(fixture.executions("again")).isEmpty();
    }

    @Test
    void usesWorkerRestartedUnderSameId() {
        fixture = new EntryFixture(1, 0);
        FleetWorker desk = fixture.desks.getFirst();
        assertThat(fixture.call("GET /look/x", "r1", "")).startsWith("HTTP/1.1 200");
        desk.stop();
        desk.start();
        fixture.store.put("servers", "desk-0", desk.registration("desks", "a", "ready"));
        EntryFixture.await(() -> fixture.call("GET /look/x", "r2", "").startsWith("HTTP/1.1 200"));
    }

    @Test
    void resumesStreamFromKvCacheCopy() {
        fixture = new EntryFixture(0, 3);
        CompletableFuture<String> response = fixture.callAsync("POST /draft/x", "s1", "prompt");
        EntryFixture.await(() -> fixture.engines.stream().anyMatch(FleetWorker::holdsCopies));
        engine(fixture.executions("s1").getFirst().workerId()).stop();
        assertThat(EntryFixture.events(response.join())).isEqualTo(completeStream("prompt"));
        assertThat(fixture.executions("s1").stream()
                        .anyMatch(execution -> execution.headers().containsKey("kv-from")))
                .isTrue();
    }

    @Test
    void resumesStreamAfterEngineDies() {
        fixture = new EntryFixture(0, 3);
        CompletableFuture<String> response = fixture.callAsync("POST /draft/x", "s1", "prompt");
        EntryFixture.await(() -> !fixture.executions("s1").isEmpty());
        engine(fixture.executions("s1").getFirst().workerId()).stop();
        assertThat(EntryFixture.events(response.join())).isEqualTo(completeStream("prompt"));
    }

    @Test
    void resumesStreamTruncatedInsideEvent() {
        fixture = new EntryFixture(0, 3);
        fixture.engines.forEach(engine -> engine.injectFault(WorkerFault.TRUNCATED_RESPONSE));
        String response = fixture.call("POST /draft/x", "s1", "prompt");
        assertThat(EntryFixture.events(response)).isEqualTo(completeStream("prompt"));
    }

    // Guards against a stream that hangs because its engine still accepts connections but sends no more events.
    @Test
    void resumesStreamAfterEngineStopsResponding() {
        fixture = new EntryFixture(0, 3);
        CompletableFuture<String> response = fixture.callAsync("POST /draft/x", "s1", "prompt");
        EntryFixture.await(() -> !fixture.executions("s1").isEmpty());
        engine(fixture.executions("s1").getFirst().workerId()).stopResponding();
        assertThat(EntryFixture.events(response.join())).isEqualTo(completeStream("prompt"));
        assertThat(fixture.executions("s1").size()).isAtLeast(2);
    }

    // Guards against engines that keep generating for disconnected clients.
    @Test
    void freesEngineWhenClientDisconnects() throws IOException {
        fixture = new EntryFixture(0, 1, SLOW_EVENT_MILLIS);
        try (Socket client = fixture.open("POST /draft/x", "s1", "prompt")) {
            EntryFixture.await(() -> !fixture.executions("s1").isEmpty());
            assertThat(client.getInputStream().read()).isAtLeast(0);
        }
        FleetWorker engine = fixture.engines.getFirst();
        EntryFixture.await(() -> engine.openStreamCount() == 0);
        assertThat(engine.sentEventCount()).isLessThan(FleetWorker.EVENTS_PER_STREAM);
    }

    // Guards against new requests being sent to a draining worker.
    @Test
    void drainingWorkerReceivesNoNewRequests() {
        fixture = new EntryFixture(2, 0);
        FleetWorker draining = fixture.desks.get(0);
        fixture.store.put("servers", "desk-0", draining.registration("desks", "a", "draining"));
        int[] number = {0};
        EntryFixture.await(() -> {
            int before = draining.executedRequests().size();
            IntStream.range(0, 4).forEach(i -> fixture.call("GET /look/x", "r" + number[0]++, ""));
            return draining.executedRequests().size() == before;
        });
        fixture.desks.get(1).stop();
        assertThat(fixture.call("GET /look/x", "last", "")).startsWith("HTTP/1.1 50");
        assertThat(fixture.executions("last")).isEmpty();
    }

    @Test
    void rejectsRevokedKey() {
        fixture = new EntryFixture(1, 0);
        fixture.store.put("config", "main", OperatorConfiguration.standard(2, "key-2"));
        EntryFixture.await(() -> fixture.call("GET /look/x", "r1", "").startsWith("HTTP/1.1 401"));
        assertThat(fixture.call("GET /look/x", "r2", "", "key-2")).startsWith("HTTP/1.1 200");
    }

    @Test
    void listsTargetsAgainAfterWatchHistoryIsGone() {
        fixture = new EntryFixture(1, 0);
        fixture.store.discardHistory();
        FleetWorker late = new FleetWorker("late", false, 0, 0);
        late.start();
        fixture.desks.add(late);
        fixture.store.remove("servers", "desk-0");
        fixture.store.put("servers", "late", late.registration("desks", "a", "ready"));
        EntryFixture.await(() -> {
            fixture.call("GET /look/x", "r1", "");
            return !late.executedRequests().isEmpty();
        });
    }

    // Guards against running keyed requests while a revocation of their key cannot be noticed.
    @Test
    void rejectsKeyedRequestsAndReportsNotReadyWhileStoreIsUnavailable() {
        fixture = new EntryFixture(1, 0);
        fixture.store.mode(StoreMode.UNAVAILABLE);
        EntryFixture.await(() -> !fixture.isReady());
        EntryFixture.await(() -> fixture.call("GET /look/x", "r1", "").startsWith("HTTP/1.1 503"));
        fixture.store.mode(StoreMode.DROPS_CONNECTIONS);
        fixture.store.mode(StoreMode.AVAILABLE);
        EntryFixture.await(() -> fixture.call("GET /look/x", "r2", "").startsWith("HTTP/1.1 200"));
    }

    // Guards against a host that stays not ready after the store has executed calls without responding.
    @Test
    void recoversAfterStoreLosesResponses() {
        fixture = new EntryFixture(1, 0);
        fixture.store.remove("amaranthlock-hosts", "entry-1");
        fixture.store.mode(StoreMode.DROPS_RESPONSES);
        EntryFixture.await(() -> !fixture.isReady());
        fixture.store.mode(StoreMode.AVAILABLE);
        EntryFixture.await(() -> fixture.call("GET /look/x", "r1", "").startsWith("HTTP/1.1 200"));
    }

    @Test
    void servesKeyedRequestsWhileStoreIsSlow() {
        fixture = new EntryFixture(1, 0);
        fixture.store.mode(StoreMode.SLOW);
        int calls = fixture.store.callCount();
        EntryFixture.await(() -> fixture.store.callCount() >= calls + 4);
        assertThat(fixture.call("GET /look/x", "r1", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void drainKeepsRunningStreamAndReportsNotReady() {
        fixture = new EntryFixture(0, 1);
        CompletableFuture<String> response = fixture.callAsync("POST /draft/x", "s1", "prompt");
        EntryFixture.await(() -> !fixture.executions("s1").isEmpty());
        fixture.drain();
        EntryFixture.await(() -> !fixture.isReady());
        assertThat(EntryFixture.events(response.join())).isEqualTo(completeStream("prompt"));
    }

    // Guards against a process that keeps the old store when the address in its settings changes without a SIGHUP.
    @Test
    void switchesStoreWhenSettingsFileChanges(@TempDir Path directory) throws IOException {
        fixture = new EntryFixture(1, 0);
        Path file = directory.resolve("settings.toml");
        Files.writeString(file, fixture.settings(fixture.store.address()));
        fixture.watchSettings(file);
        FleetStore other = new FleetStore("127.0.0.1", 0);
        other.start();
        other.put("config", "main", OperatorConfiguration.standard(5, "key-5"));
        Files.writeString(file, fixture.settings(other.address()));
        Files.setLastModifiedTime(file, FileTime.fromMillis(1));
        EntryFixture.await(() -> other.callCount() > 0);
        other.stop();
    }

    @Test
    void registersItselfInStore() {
        fixture = new EntryFixture(0, 0);
        EntryFixture.await(
                () -> fixture.store.spec("amaranthlock-hosts", "entry-1").isPresent());
    }

    private FleetWorker engine(String id) {
        return fixture.engines.get(Integer.parseInt(id.substring("engine-".length())));
    }

    private void clearFaults() {
        fixture.desks.forEach(FleetWorker::clearFaults);
    }

    private static String completeStream(String body) {
        return IntStream.range(0, FleetWorker.EVENTS_PER_STREAM)
                .mapToObj(number -> FleetWorker.streamEvent(number, body))
                .collect(Collectors.joining());
    }
}
