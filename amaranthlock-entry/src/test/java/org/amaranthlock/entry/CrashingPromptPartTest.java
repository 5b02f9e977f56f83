package org.amaranthlock.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the complete daemon with requests that share a part of their prompts, which crashes engines. */
class CrashingPromptPartTest {
    private static final String CRASHING_PART = "dead01";

    private static final int REQUESTS = 12;

    /** Crashes after which no request with the part is sent any more: the first one, and those that confirm it. */
    private static final int MAX_CRASHES = 5;

    private static final long RESTART_CHECK_NANOS = 200_000_000;

    private EntryFixture fixture;
    private volatile boolean closed;

    @BeforeEach
    void startEngines() {
        fixture = new EntryFixture(0, 6);
        fixture.engines.forEach(engine -> engine.crashOnPromptPart(CRASHING_PART));
        Thread.ofVirtual().start(this::restartCrashedEngines);
    }

    @AfterEach
    void close() {
        closed = true;
        fixture.close();
    }

    // Guards against requests of one kind that crash engine after engine because no two of them are alike.
    @Test
    void requestsWithOneCrashingPartStopReachingEngines() {
        for (int i = 0; i < REQUESTS; i++) {
            String response = fixture.callWithPrompt(
                    "POST /draft/x", "dead" + i, "aa01:20," + CRASHING_PART + ":10,e" + i + ":20");
            assertThat(response).doesNotContain("HTTP/1.1 200");
        }
        long crashes = IntStream.range(0, REQUESTS)
                .mapToLong(i -> fixture.executions("dead" + i).size())
                .sum();
        assertThat(crashes).isAtMost(MAX_CRASHES);
    }

    // Guards against a fleet whose hosts are all killed and learn again, by further crashes, which part it is.
    @Test
    void hostThatStartsKnowsTheCrashingPart() {
        send("dead0");
        EntryFixture.await(() ->
                fixture.store.spec("amaranthlock-prompt-parts", CRASHING_PART).isPresent());
        fixture.restart();
        assertThat(send("dead1")).contains("HTTP/1.1 503");
        assertThat(fixture.executions("dead1")).isEmpty();
    }

    private String send(String id) {
        return fixture.callWithPrompt("POST /draft/x", id, "aa01:20," + CRASHING_PART + ":10,e" + id + ":20");
    }

    // Guards against shutting out sound requests that share the account, the route and the first part.
    @Test
    void soundRequestsThatShareOtherPartsAreServed() {
        for (int i = 0; i < REQUESTS; i++) {
            String id = "sound" + i;
            CompletableFuture<String> crashing = call("dead" + i, "aa01:20," + CRASHING_PART + ":10,e" + i + ":20");
            CompletableFuture<String> sound = call(id, "aa01:20,b" + i + ":20");
            assertWithMessage(id).that(EntryFixture.events(sound.join())).isEqualTo(allEvents(id));
            crashing.join();
        }
    }

    private CompletableFuture<String> call(String id, String parts) {
        CompletableFuture<String> response = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> response.complete(fixture.callWithPrompt("POST /draft/x", id, parts)));
        return response;
    }

    private static String allEvents(String id) {
        StringBuilder events = new StringBuilder();
        for (int number = 0; number < FleetWorker.EVENTS_PER_STREAM; number++) {
            events.append(FleetWorker.streamEvent(number, "body of " + id));
        }
        return events.toString();
    }

    /** Engines are back some time after a crash. */
    private void restartCrashedEngines() {
        while (!closed) {
            List.copyOf(fixture.engines).stream()
                    .filter(engine -> !engine.isListening())
                    .forEach(FleetWorker::start);
            LockSupport.parkNanos(RESTART_CHECK_NANOS);
        }
    }
}
