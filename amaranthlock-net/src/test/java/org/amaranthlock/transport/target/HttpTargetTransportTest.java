package org.amaranthlock.transport.target;

import static com.google.common.truth.Truth.assertThat;
import static org.amaranthlock.transport.target.TargetSamples.ATTEMPT;
import static org.amaranthlock.transport.target.TargetSamples.spec;
import static org.amaranthlock.transport.target.TargetSamples.target;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent.AttemptFailed;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.RequestEvent.Reconciled;
import org.amaranthlock.coordination.RequestEvent.ServiceResponded;
import org.amaranthlock.coordination.RequestEvent.StreamEnded;
import org.amaranthlock.coordination.RequestEvent.TokensReceived;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.model.Work;
import org.amaranthlock.transport.RecordingEventSink;
import org.amaranthlock.transport.ScriptedHttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpTargetTransportTest {
    private static final String STREAM_RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

    private final RecordingEventSink events = new RecordingEventSink();
    private final HttpTargetTransport transport = new HttpTargetTransport(events);

    @AfterEach
    void stop() {
        transport.stop();
    }

    /** Guards against tokens that are corrupted at chunk boundaries, and against one event per token. */
    @Test
    void streamIsParsedAcrossChunkBoundaries() throws Exception {
        byte[] first = token(3, "漢");
        byte[] both = concat(token(4, "a"), token(5, "b"));
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> {
            ScriptedHttpServer.write(out, STREAM_RESPONSE_HEAD);
            writeChunk(out, first, 0, 22);
            writeChunk(out, first, 22, first.length);
            writeChunk(out, both, 0, both.length);
            byte[] end = "event: done\ndata: {\"reason\":\"stop\",\"count\":6}\n\n".getBytes(StandardCharsets.UTF_8);
            writeChunk(out, end, 0, end.length);
            ScriptedHttpServer.write(out, "0\r\n\r\n");
        })) {
            transport.execute(open(server.address()));

            assertThat(events.awaitNext(TokensReceived.class)).isEqualTo(new TokensReceived(ATTEMPT, 3, List.of("漢")));
            TokensReceived next = events.awaitNext(TokensReceived.class);
            // The client may receive the chunk in two parts, each of which is published as one event.
            if (next.tokens().size() == 1) {
                events.awaitNext(TokensReceived.class);
            }
            assertThat(events.awaitNext(StreamEnded.class)).isEqualTo(new StreamEnded(ATTEMPT, "stop", 6));
        }
    }

    /** Guards against a truncated token in the response, and against a target whose reachability is not reported. */
    @Test
    void streamTruncatedInsideATokenIsLost() throws Exception {
        byte[] first = token(0, "a");
        byte[] second = token(1, "漢");
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> {
            ScriptedHttpServer.write(out, STREAM_RESPONSE_HEAD);
            byte[] all = concat(first, second);
            writeChunk(out, all, 0, first.length + 23);
        })) {
            transport.execute(open(server.address()));

            assertThat(events.awaitNext(TokensReceived.class).tokens()).containsExactly("a");
            assertThat(events.awaitNext(AttemptFailed.class).kind()).isEqualTo(FailureKind.LOST);
            assertThat(events.awaitNext(TargetEvent.Reachable.class).target()).isEqualTo(new TargetId("t1"));
        }
    }

    /** Guards against a dead target that is still considered reachable after a lost stream. */
    @Test
    void lostStreamOfADeadTargetReportsItUnreachable() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> {
            ScriptedHttpServer.write(out, STREAM_RESPONSE_HEAD);
            closed.await(10, TimeUnit.SECONDS);
        });
        transport.execute(open(server.address()));
        assertThat(server.requestHeads().poll(10, TimeUnit.SECONDS)).startsWith("POST /v1/streams ");
        server.close();
        closed.countDown();

        assertThat(events.awaitNext(AttemptFailed.class).kind()).isEqualTo(FailureKind.LOST);
        events.awaitNext(TargetEvent.Unreachable.class);
    }

    /** Guards against a refused connection that counts as a possible execution. */
    @Test
    void refusedConnectionIsNotSent() throws Exception {
        transport.execute(call(ScriptedHttpServer.unusedAddress(), ProfileKind.AT_MOST_ONCE, 2_000));

        assertThat(events.awaitNext(AttemptFailed.class).kind()).isEqualTo(FailureKind.NOT_SENT);
        events.awaitNext(TargetEvent.Unreachable.class);
    }

    /** Guards against a call whose response is lost and that is reported as not executed. */
    @Test
    void callWithoutResponseIsLost() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> {})) {
            transport.execute(call(server.address(), ProfileKind.AT_MOST_ONCE, 2_000));

            assertThat(events.awaitNext(AttemptFailed.class).kind()).isEqualTo(FailureKind.LOST);
        }
    }

    /** Guards against a call that the target read from a reused connection and that is reported as not sent. */
    @Test
    void callWithoutResponseOnAReusedConnectionIsLost() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (ScriptedHttpServer server = new ScriptedHttpServer(
                (head, out) -> {
                    if (requests.incrementAndGet() % 2 == 0) {
                        throw new IOException("closes the connection without a response");
                    }
                    writeOk(out, "");
                },
                true)) {
            for (int round = 0; round < 50; round++) {
                transport.execute(call(server.address(), ProfileKind.AT_MOST_ONCE, 2_000));
                events.awaitNext(ServiceResponded.class);
                transport.execute(call(server.address(), ProfileKind.AT_MOST_ONCE, 2_000));
                assertThat(events.awaitNext(AttemptFailed.class).kind()).isEqualTo(FailureKind.LOST);
                events.awaitNext(TargetEvent.Reachable.class);
            }
            assertThat(requests.get()).isEqualTo(100);
        }
    }

    /**
     * Guards against a call that is reported as not sent although the target read it while it closed the connection.
     */
    @Test
    void notSentIsReportedOnlyIfTheTargetReceivedNoRequest() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> {
            requests.incrementAndGet();
            writeOk(out, "");
        })) {
            for (int round = 0; round < 200; round++) {
                int before = requests.get();
                transport.execute(call(server.address(), ProfileKind.AT_MOST_ONCE, 2_000));
                Event event = events.awaitNext(Event.class);
                if (event instanceof AttemptFailed failed && failed.kind() == FailureKind.NOT_SENT) {
                    assertThat(requests.get()).isEqualTo(before);
                } else if (event instanceof AttemptFailed) {
                    events.awaitNext(TargetEvent.Reachable.class);
                }
            }
        }
    }

    /** Guards against a malformed address whose exception ends the control thread. */
    @Test
    void malformedAddressFailsTheAttempt() throws Exception {
        transport.execute(call("no-address", ProfileKind.RETRIABLE, 2_000));
        assertThat(events.awaitNext(AttemptFailed.class).kind()).isEqualTo(FailureKind.INVALID);
        transport.execute(new TargetCommand.Poll(target("no-address")));
        events.awaitNext(TargetEvent.Unreachable.class);
    }

    /** Guards against a call whose response is late and that is reported as not executed or as lost. */
    @Test
    void lateResponseTimesOut() throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> end.await(10, TimeUnit.SECONDS))) {
            transport.execute(call(server.address(), ProfileKind.AT_MOST_ONCE, 100));

            assertThat(events.awaitNext(AttemptFailed.class).kind()).isEqualTo(FailureKind.TIMED_OUT);
            end.countDown();
        }
    }

    /** Guards against events of a cancelled attempt, and against engines that continue its stream. */
    @Test
    void cancelledAttemptPublishesNoFurtherEvents() throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> {
            if (head.startsWith("DELETE")) {
                ScriptedHttpServer.write(out, "HTTP/1.1 204 No Content\r\n\r\n");
                return;
            }
            ScriptedHttpServer.write(out, STREAM_RESPONSE_HEAD);
            writeChunk(out, token(0, "a"), 0, token(0, "a").length);
            cancelled.await(10, TimeUnit.SECONDS);
            try {
                writeChunk(out, token(1, "b"), 0, token(1, "b").length);
            } finally {
                written.countDown();
            }
        })) {
            RequestCommand.OpenStream open = open(server.address());
            transport.execute(open);
            events.awaitNext(TokensReceived.class);
            transport.execute(new RequestCommand.CancelAttempt(ATTEMPT, open.target()));
            cancelled.countDown();

            assertThat(written.await(10, TimeUnit.SECONDS)).isTrue();
            server.requestHeads().poll(10, TimeUnit.SECONDS);
            assertThat(server.requestHeads().poll(10, TimeUnit.SECONDS)).startsWith("DELETE /v1/streams/01-a/2 ");
            assertThat(events.isEmpty()).isTrue();
        }
    }

    /** Guards against error responses of engines that are misinterpreted. */
    @Test
    void errorResponsesMapToFailureKinds() throws Exception {
        assertThat(failureForErrorResponse(503, "draining", "").kind()).isEqualTo(FailureKind.DRAINING);
        AttemptFailed busy = failureForErrorResponse(503, "busy", "retry-after: 3\r\n");
        assertThat(busy.kind()).isEqualTo(FailureKind.BUSY);
        assertThat(busy.retryAfterMillis()).isEqualTo(OptionalLong.of(3_000));
        assertThat(failureForErrorResponse(429, "", "").kind()).isEqualTo(FailureKind.BUSY);
        assertThat(failureForErrorResponse(409, "fenced", "").kind()).isEqualTo(FailureKind.FENCED);
        assertThat(failureForErrorResponse(422, "", "").kind()).isEqualTo(FailureKind.INVALID);
    }

    /** Guards against an engine that is considered failed because it does not know a stream. */
    @Test
    void attachToUnknownStreamReportsStreamGone() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> writeProblem(out, 404, "", ""))) {
            transport.execute(new RequestCommand.AttachStream(ATTEMPT, target(server.address()), 7));

            assertThat(events.awaitNext(AttemptFailed.class).kind()).isEqualTo(FailureKind.STREAM_GONE);
            assertThat(server.requestHeads().poll()).startsWith("GET /v1/streams/01-a/2?from=7 ");
        }
    }

    /** Guards against calls without key or fencing number, and a 503 without a code that counts as not executed. */
    @Test
    void callCarriesIdempotencyKeyAndFencingNumber() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> writeProblem(out, 503, "", ""))) {
            transport.execute(call(server.address(), ProfileKind.AT_MOST_ONCE, 2_000));

            assertThat(events.awaitNext(ServiceResponded.class).response().status())
                    .isEqualTo(503);
            String head = server.requestHeads().poll();
            assertThat(head).startsWith("POST /orders?x=1 ");
            assertThat(head).contains("idempotency-key: k/1\r\n");
            assertThat(head).contains("amaranthlock-fence: 9\r\n");
            assertThat(head).contains("accept: text/plain\r\n");
        }
    }

    /** Guards against a reconciliation that reports an executed call as not executed. */
    @Test
    void reconciliationReadsTheStoredResponse() throws Exception {
        String body = "{\"executed\":true,\"status\":201,\"body\":\"done\"}";
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> writeOk(out, body))) {
            RequestCommand.CallService call = call(server.address(), ProfileKind.AT_MOST_ONCE, 2_000);
            transport.execute(new RequestCommand.Reconcile(ATTEMPT, call.target(), call.spec(), OptionalLong.of(9)));

            Reconciled event = events.awaitNext(Reconciled.class);
            assertThat(event.response().orElseThrow().status()).isEqualTo(201);
            assertThat(new String(event.response().orElseThrow().body(), StandardCharsets.UTF_8))
                    .isEqualTo("done");
            assertThat(server.requestHeads().poll()).startsWith("GET /orders/k%2F1 ");
        }
    }

    /** Guards against load reports and cache events that are lost or read twice. */
    @Test
    void pollReadsLoadAndNewCacheEvents() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer(
                (head, out) -> {
                    if (head.startsWith("GET /v1/load")) {
                        writeOk(out, "{\"running\":3,\"queued\":1,\"ageMillis\":2000}");
                    } else {
                        writeOk(out, "{\"events\":[{\"seq\":4,\"added\":[11],\"evicted\":[12]}]}");
                    }
                },
                true)) {
            Target target = target(server.address());
            transport.execute(new TargetCommand.Poll(target));
            List<TargetEvent> received =
                    List.of(events.awaitNext(TargetEvent.class), events.awaitNext(TargetEvent.class));

            assertThat(received)
                    .containsExactly(
                            new TargetEvent.LoadReported(target.id(), 3, 1, 2_000),
                            new TargetEvent.CacheChanged(target.id(), List.of(11L), List.of(12L)));
        }
    }

    /** Guards against an engine order that counts as accepted although its fencing number was rejected. */
    @Test
    void fencedOrderIsNotAccepted() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer((head, out) -> writeProblem(out, 409, "fenced", ""))) {
            transport.execute(new TargetCommand.SendOrder(target(server.address()), 5, "load-model", "m", 7));

            TargetEvent.OrderResponseReceived event = events.awaitNext(TargetEvent.OrderResponseReceived.class);
            assertThat(event.order()).isEqualTo(5);
            assertThat(event.accepted()).isFalse();
        }
    }

    private AttemptFailed failureForErrorResponse(int status, String code, String headers) throws Exception {
        try (ScriptedHttpServer server =
                new ScriptedHttpServer((head, out) -> writeProblem(out, status, code, headers))) {
            transport.execute(open(server.address()));
            if (code.equals("draining")) {
                events.awaitNext(TargetEvent.Draining.class);
            }
            return events.awaitNext(AttemptFailed.class);
        }
    }

    private static RequestCommand.OpenStream open(String address) {
        Work work = new Work.Generation("m", "", "prompt", List.of(), 10, 1);
        return new RequestCommand.OpenStream(
                ATTEMPT, target(address), spec(work, ProfileKind.KEPT_ALIVE), List.of("x"), 1);
    }

    private static RequestCommand.CallService call(String address, ProfileKind kind, long timeoutMillis) {
        Work work = new Work.ServiceCall(
                "POST", "/orders?x=1", Map.of("accept", "text/plain"), "b".getBytes(StandardCharsets.UTF_8));
        return new RequestCommand.CallService(
                ATTEMPT, target(address), spec(work, kind), OptionalLong.of(9), timeoutMillis);
    }

    private static byte[] token(int index, String text) {
        return ("id: " + index + "\ndata: {\"i\":" + index + ",\"t\":\"" + text + "\"}\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    private static void writeChunk(OutputStream out, byte[] bytes, int from, int to) throws IOException {
        ScriptedHttpServer.write(out, Integer.toHexString(to - from) + "\r\n");
        out.write(bytes, from, to - from);
        ScriptedHttpServer.write(out, "\r\n");
    }

    private static void writeOk(OutputStream out, String body) throws IOException {
        ScriptedHttpServer.write(out, "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
    }

    private static void writeProblem(OutputStream out, int status, String code, String headers) throws IOException {
        String body = "{\"code\":\"" + code + "\"}";
        ScriptedHttpServer.write(
                out,
                "HTTP/1.1 " + status + " status\r\n" + headers + "content-length: " + body.length() + "\r\n\r\n"
                        + body);
    }
}
