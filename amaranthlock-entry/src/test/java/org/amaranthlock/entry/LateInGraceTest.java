package org.amaranthlock.entry;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.amaranthlock.standin.fleet.WorkerFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the planned stop of the complete daemon while requests go on arriving on open connections. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LateInGraceTest {
    private static final int GRACE_SECONDS = 4;
    private static final int STEP_MILLIS = 80;
    private static final int REQUESTS = GRACE_SECONDS * 1_000 / STEP_MILLIS;

    private final EntryFixture fixture = new EntryFixture(1, 0, 10, "grace-s = " + GRACE_SECONDS);

    @AfterEach
    void close() {
        fixture.close();
    }

    // Guards against orders that arrive late in the grace time, run, and are cut without an answer at its end.
    @Test
    void orderThatArrivesAtAnyMomentOfTheGraceTimeIsAnswered() throws IOException {
        IntStream.range(0, REQUESTS).forEach(_ -> fixture.desks.getFirst().injectFault(WorkerFault.HANG));
        List<CompletableFuture<String>> responses = new ArrayList<>();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(fixture.openWithoutBody("POST /order/x", "o" + i, "body"));
        }
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        fixture.drain();
        for (int i = 0; i < REQUESTS; i++) {
            Socket client = clients.get(i);
            Executor atMoment =
                    CompletableFuture.delayedExecutor((long) i * STEP_MILLIS, TimeUnit.MILLISECONDS, threads);
            responses.add(CompletableFuture.supplyAsync(() -> sendBody(client), atMoment));
        }
        for (int i = 0; i < REQUESTS; i++) {
            String response = responses.get(i).join();
            boolean executed = !fixture.executions("o" + i).isEmpty();
            String what = "order sent " + i * STEP_MILLIS + " ms after the signal, executed: " + executed;
            assertWithMessage(what).that(response).startsWith("HTTP/1.1 ");
            assertWithMessage(what).that(response.startsWith("HTTP/1.1 503")).isEqualTo(!executed);
        }
    }

    /** Sends the body and returns everything received until the connection is closed, or nothing if it is reset. */
    private static String sendBody(Socket client) {
        try (client) {
            client.getOutputStream().write("body".getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "broken: " + e.getMessage();
        }
    }
}
