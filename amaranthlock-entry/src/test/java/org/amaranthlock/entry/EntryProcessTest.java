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
import org.amaranthlock.standin.fleet.FleetStore;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.amaranthlock.standin.fleet.OperatorConfiguration;
import org.amaranthlock.standin.fleet.StoreMode;
import org.amaranthlock.standin.fleet.WorkerFault;
import org.amaranthlock.standin.fleet.WorkerRun;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole daemon between raw clients and stand-ins that break the protocol. */
class EntryProcessTest {
    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void refusesAtOnceAsNotRunWhatNoTargetCanTake() {
        fixture = new EntryFixture(0, 0);
        assertThat(fixture.call("GET /look/x", "r1", "")).startsWith("HTTP/1.1 503");
    }

    @Test
    void passesOnAnswersAndNamesTheAccountToTheWorker() {
        fixture = new EntryFixture(1, 0);
        String answer = fixture.call("POST /order/x?q=1", "r1", "pallet");
        assertThat(answer).startsWith("HTTP/1.1 200");
        assertThat(answer).endsWith("done r1");
        WorkerRun run = fixture.runs("r1").getFirst();
        assertThat(run.line()).isEqualTo("POST /order/x?q=1 HTTP/1.1");
        assertThat(run.body()).isEqualTo("pallet");
        assertThat(run.headers()).containsEntry("x-tenant", "shop-1");
        assertThat(run.headers()).doesNotContainKey("authorization");
    }

    @Test
    void deniesKeysAndRoutesThatDoNotExist() {
        fixture = new EntryFixture(1, 0);
        assertThat(fixture.call("GET /look/x", "r1", "", "other")).startsWith("HTTP/1.1 401");
        assertThat(fixture.call("GET /none/x", "r1", "")).startsWith("HTTP/1.1 404");
    }

    // Guards against orders that run twice, whatever a worker does with them.
    @Test
    void anOrderRunsAtMostOnceUnderEachFault() {
        fixture = new EntryFixture(2, 0);
        for (WorkerFault fault : WorkerFault.values()) {
            fixture.desks.forEach(desk -> desk.strike(fault));
            String id = "order-" + fault;
            String answer = fixture.call("POST /order/x", id, "pallet");
            assertWithMessage("runs under %s", fault)
                    .that(fixture.runs(id).size())
                    .isAtMost(1);
            boolean promisesNotRun = answer.startsWith("HTTP/1.1 503") || answer.startsWith("HTTP/1.1 429");
            if (promisesNotRun) {
                assertWithMessage("promise under %s", fault)
                        .that(fixture.runs(id))
                        .isEmpty();
            }
            if (answer.startsWith("HTTP/1.1 200")) {
                assertWithMessage("answer under %s", fault).that(answer).endsWith("done " + id);
            }
            clearFaults();
        }
    }

    // Guards against wrong or torn bytes that reach a client as a success.
    @Test
    void aLookupSurvivesEachFaultOfItsFirstWorker() {
        fixture = new EntryFixture(2, 0);
        for (WorkerFault fault : WorkerFault.values()) {
            clearFaults();
            fixture.desks.get(0).strike(fault);
            String id = "look-" + fault;
            assertWithMessage("answer under %s", fault)
                    .that(fixture.call("GET /look/x", id, ""))
                    .endsWith("done " + id);
        }
    }

    // Guards against bytes of the next request that stand where the rest of a body is due.
    @Test
    void aWorkerThatAnswersEarlyGetsTheWholeBodyAndNothingElse() {
        fixture = new EntryFixture(1, 0);
        String large = "pallet ".repeat(100_000);
        fixture.desks.getFirst().strike(WorkerFault.EARLY);
        assertThat(fixture.call("POST /order/x", "early", large)).endsWith("done early");
        assertThat(fixture.call("POST /order/x", "next", "pallet")).endsWith("done next");
        EntryFixture.await(() -> fixture.runs("early").size() == 1);
        assertThat(fixture.runs("early").getFirst().body()).isEqualTo(large);
        assertThat(fixture.runs("next").getFirst().body()).isEqualTo("pallet");
    }

    // Guards against a request that takes down one engine after the other.
    @Test
    void aRequestThatCrashesItsEnginesIsNotSentAnyMore() {
        fixture = new EntryFixture(0, 6);
        fixture.engines.forEach(engine -> engine.strike(WorkerFault.CRASH));
        fixture.call("POST /draft/x", "poison", "prompt");
        assertThat(fixture.runs("poison").size()).isAtLeast(3);
        EntryFixture.await(
                () -> fixture.call("POST /draft/x", "poison", "prompt").contains("crashes-targets"));
        fixture.engines.forEach(FleetWorker::stop);
        fixture.engines.forEach(FleetWorker::start);
        assertThat(EntryFixture.events(fixture.call("POST /draft/x", "s1", "other")))
                .isEqualTo(wholeStream("other"));
        assertThat(fixture.call("POST /draft/x", "again", "prompt")).startsWith("HTTP/1.1 502");
        assertThat(fixture.runs("again")).isEmpty();
    }

    @Test
    void aWorkerThatStartsAgainUnderItsIdIsUsed() {
        fixture = new EntryFixture(1, 0);
        FleetWorker desk = fixture.desks.getFirst();
        assertThat(fixture.call("GET /look/x", "r1", "")).startsWith("HTTP/1.1 200");
        desk.stop();
        desk.start();
        fixture.store.put("servers", "desk-0", desk.entry("desks", "a", "ready"));
        EntryFixture.await(() -> fixture.call("GET /look/x", "r2", "").startsWith("HTTP/1.1 200"));
    }

    @Test
    void aStreamGoesOnFromTheCopyOfItsRun() {
        fixture = new EntryFixture(0, 3);
        CompletableFuture<String> answer = fixture.callLater("POST /draft/x", "s1", "prompt");
        EntryFixture.await(() -> fixture.engines.stream().anyMatch(FleetWorker::keepsCopies));
        engine(fixture.runs("s1").getFirst().worker()).stop();
        assertThat(EntryFixture.events(answer.join())).isEqualTo(wholeStream("prompt"));
        assertThat(fixture.runs("s1").stream().anyMatch(run -> run.headers().containsKey("kv-from")))
                .isTrue();
    }

    @Test
    void aStreamGoesOnWhenItsEngineDies() {
        fixture = new EntryFixture(0, 3);
        CompletableFuture<String> answer = fixture.callLater("POST /draft/x", "s1", "prompt");
        EntryFixture.await(() -> !fixture.runs("s1").isEmpty());
        engine(fixture.runs("s1").getFirst().worker()).stop();
        assertThat(EntryFixture.events(answer.join())).isEqualTo(wholeStream("prompt"));
    }

    @Test
    void aStreamGoesOnWhenItsEngineBreaksOffInsideAnEvent() {
        fixture = new EntryFixture(0, 3);
        fixture.engines.forEach(engine -> engine.strike(WorkerFault.TORN));
        String answer = fixture.call("POST /draft/x", "s1", "prompt");
        assertThat(EntryFixture.events(answer)).isEqualTo(wholeStream("prompt"));
    }

    // Guards against a stream that hangs because its engine accepts connections but sends nothing more.
    @Test
    void aStreamGoesOnWhenItsEngineFallsSilent() {
        fixture = new EntryFixture(0, 3);
        CompletableFuture<String> answer = fixture.callLater("POST /draft/x", "s1", "prompt");
        EntryFixture.await(() -> !fixture.runs("s1").isEmpty());
        engine(fixture.runs("s1").getFirst().worker()).goSilent();
        assertThat(EntryFixture.events(answer.join())).isEqualTo(wholeStream("prompt"));
        assertThat(fixture.runs("s1").size()).isAtLeast(2);
    }

    // Guards against engines that work for clients who have left.
    @Test
    void anEngineIsFreedWhenTheClientLeaves() throws IOException {
        fixture = new EntryFixture(0, 1);
        try (Socket client = fixture.open("POST /draft/x", "s1", "prompt")) {
            EntryFixture.await(() -> !fixture.runs("s1").isEmpty());
            assertThat(client.getInputStream().read()).isAtLeast(0);
        }
        // The engine is free again if the next stream gets its whole answer.
        assertThat(EntryFixture.events(fixture.call("POST /draft/x", "s2", "next")))
                .isEqualTo(wholeStream("next"));
    }

    // Guards against new work for a worker that is leaving.
    @Test
    void aDrainingWorkerGetsNothingNew() {
        fixture = new EntryFixture(2, 0);
        FleetWorker leaving = fixture.desks.get(0);
        fixture.store.put("servers", "desk-0", leaving.entry("desks", "a", "draining"));
        int[] number = {0};
        EntryFixture.await(() -> {
            int before = leaving.runs().size();
            IntStream.range(0, 4).forEach(i -> fixture.call("GET /look/x", "r" + number[0]++, ""));
            return leaving.runs().size() == before;
        });
        fixture.desks.get(1).stop();
        assertThat(fixture.call("GET /look/x", "last", "")).startsWith("HTTP/1.1 50");
        assertThat(fixture.runs("last")).isEmpty();
    }

    @Test
    void aKeyThatIsTakenAwayStopsToWork() {
        fixture = new EntryFixture(1, 0);
        fixture.store.put("config", "main", OperatorConfiguration.standard(2, "key-2"));
        EntryFixture.await(() -> fixture.call("GET /look/x", "r1", "").startsWith("HTTP/1.1 401"));
        assertThat(fixture.call("GET /look/x", "r2", "", "key-2")).startsWith("HTTP/1.1 200");
    }

    @Test
    void followsTheTargetsAgainAfterTheStoreForgotItsHistory() {
        fixture = new EntryFixture(1, 0);
        fixture.store.forgetHistory();
        FleetWorker late = new FleetWorker("late", false, 0, 0);
        late.start();
        fixture.desks.add(late);
        fixture.store.remove("servers", "desk-0");
        fixture.store.put("servers", "late", late.entry("desks", "a", "ready"));
        EntryFixture.await(() -> {
            fixture.call("GET /look/x", "r1", "");
            return !late.runs().isEmpty();
        });
    }

    // Guards against keyed requests that run although their key may have been revoked.
    @Test
    void stopsToHonourKeysAndToBeReadyWhileTheStoreIsAway() {
        fixture = new EntryFixture(1, 0);
        fixture.store.mode(StoreMode.BUSY);
        EntryFixture.await(() -> !fixture.isReady());
        EntryFixture.await(() -> fixture.call("GET /look/x", "r1", "").startsWith("HTTP/1.1 503"));
        fixture.store.mode(StoreMode.RESET);
        fixture.store.mode(StoreMode.UP);
        EntryFixture.await(() -> fixture.call("GET /look/x", "r2", "").startsWith("HTTP/1.1 200"));
    }

    // Guards against a host that never becomes known because the answer to its write was lost.
    @Test
    void isKnownToOtherHostsAlthoughTheStoreLosesAnswers() {
        fixture = new EntryFixture(1, 0);
        fixture.store.remove("amaranthlock-hosts", "entry-1");
        fixture.store.mode(StoreMode.LOSES_ANSWERS);
        EntryFixture.await(() -> !fixture.isReady());
        fixture.store.mode(StoreMode.UP);
        EntryFixture.await(() -> fixture.call("GET /look/x", "r1", "").startsWith("HTTP/1.1 200"));
    }

    @Test
    void servesKeyedRequestsWhileTheStoreIsSlow() {
        fixture = new EntryFixture(1, 0);
        fixture.store.mode(StoreMode.SLOW);
        int calls = fixture.store.calls();
        EntryFixture.await(() -> fixture.store.calls() >= calls + 4);
        assertThat(fixture.call("GET /look/x", "r1", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void drainingCutsNothingAndTurnsReadinessOffAtOnce() {
        fixture = new EntryFixture(0, 1);
        CompletableFuture<String> answer = fixture.callLater("POST /draft/x", "s1", "prompt");
        EntryFixture.await(() -> !fixture.runs("s1").isEmpty());
        fixture.drain();
        EntryFixture.await(() -> !fixture.isReady());
        assertThat(EntryFixture.events(answer.join())).isEqualTo(wholeStream("prompt"));
    }

    // Guards against a process that stays with a store whose address has changed without a signal.
    @Test
    void followsItsSettingsFileToAnotherStore(@TempDir Path directory) throws IOException {
        fixture = new EntryFixture(1, 0);
        Path file = directory.resolve("settings.toml");
        Files.writeString(file, fixture.settings(fixture.store.address()));
        fixture.watchSettings(file);
        FleetStore other = new FleetStore("127.0.0.1", 0);
        other.start();
        other.put("config", "main", OperatorConfiguration.standard(5, "key-5"));
        Files.writeString(file, fixture.settings(other.address()));
        Files.setLastModifiedTime(file, FileTime.fromMillis(1));
        EntryFixture.await(() -> other.calls() > 0);
        other.stop();
    }

    @Test
    void registersItselfForTheOtherHosts() {
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

    private static String wholeStream(String body) {
        return IntStream.range(0, FleetWorker.EVENTS)
                .mapToObj(number -> FleetWorker.event(number, body))
                .collect(Collectors.joining());
    }
}
