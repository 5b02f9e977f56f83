package org.amaranthlock.router;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.SocketException;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.amaranthlock.coordination.RequestCommand.CompleteStream;
import org.amaranthlock.coordination.RequestCommand.DeliverResponse;
import org.amaranthlock.coordination.RequestCommand.DeliverTokens;
import org.amaranthlock.coordination.RequestCommand.Refuse;
import org.amaranthlock.coordination.RequestEvent.Arrived;
import org.amaranthlock.coordination.RequestEvent.ClientDisconnected;
import org.amaranthlock.coordination.ledger.LedgerPartitions;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Work;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class CallerFrontTest {
    private static final String STREAM =
            "{\"model\":\"drafts/legal\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}";
    private static final String WHOLE =
            "{\"model\":\"drafts\",\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}";

    private final RouterFixture router = new RouterFixture();

    @AfterEach
    void stop() {
        router.close();
    }

    // Guards against missing, repeated or unidentified tokens in a streamed answer.
    @Test
    void aStreamedAnswerHoldsAllTokensWithResumableIds() throws Exception {
        var answer = router.sendAsync(router.completion(STREAM));
        RequestSpec spec = router.core.await(Arrived.class).spec();
        router.core.issue(
                new DeliverTokens(spec.id(), 0, List.of("one", " two")),
                new DeliverTokens(spec.id(), 2, List.of(" three")),
                new CompleteStream(spec.id(), "stop", RouterFixture.completed(spec, 3)));
        HttpResponse<String> response = answer.get();
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue("content-type")).hasValue("text/event-stream");
        List<String> lines = response.body().lines().toList();
        assertThat(lines.get(0)).isEqualTo("id: " + spec.id() + ":1");
        assertThat(lines.get(1)).contains("\"content\":\"one two\"");
        assertThat(lines.get(3)).isEqualTo("id: " + spec.id() + ":2");
        assertThat(lines.get(4)).contains("\"content\":\" three\"");
        assertThat(lines.get(6)).contains("\"finish_reason\":\"stop\"");
        assertThat(lines.get(8)).isEqualTo("data: [DONE]");
        assertThat(((Work.Generation) spec.work()).adapter()).isEqualTo("legal");
    }

    // Guards against an answer from the start, or under a new id, for a caller that returns for the rest.
    @Test
    void aReturningCallerArrivesWithItsOriginalIdAndTheNextPosition() throws Exception {
        RequestId original = LedgerPartitions.requestId(5, "router-9-abc-1");
        var answer = router.sendAsync(router.completion(STREAM).header("Last-Event-ID", original + ":41"));
        Arrived arrived = router.core.await(Arrived.class);
        assertThat(arrived.request()).isEqualTo(original);
        assertThat(arrived.resumeIndex()).isEqualTo(OptionalInt.of(42));
        router.core.issue(
                new DeliverTokens(original, 42, List.of("rest")),
                new CompleteStream(original, "stop", RouterFixture.completed(arrived.spec(), 43)));
        assertThat(answer.get().body()).contains("id: " + original + ":42");
    }

    // Guards against records that can't be found by the request id of an idempotent request.
    @Test
    void theRequestIdNamesThePartitionOfTheIdempotencyKey() throws Exception {
        var answer = router.sendAsync(router.completion(WHOLE).header("Idempotency-Key", "order-17"));
        RequestSpec spec = router.core.await(Arrived.class).spec();
        assertThat(LedgerPartitions.ofRequest(spec.id())).isEqualTo(LedgerPartitions.ofKey("shops/order-17"));
        router.core.issue(
                new DeliverTokens(spec.id(), 0, List.of("a", "b")),
                new CompleteStream(spec.id(), "length", RouterFixture.completed(spec, 2)));
        assertThat(answer.get().body()).contains("\"content\":\"ab\"");
        assertThat(answer.get().body()).contains("\"completion_tokens\":2");
    }

    // Guards against refusals that hide whether the request ran or when to come back.
    @Test
    void aRefusalIsAProblemWithFateAndRetryTimes() throws Exception {
        router.core.onEvent(event -> event instanceof Arrived arrived
                ? List.of(new Refuse(
                        arrived.request(),
                        new Refusal(
                                ErrorCode.OVERLOADED,
                                ExecutionStatus.NOT_RUN,
                                "Come back later.",
                                OptionalLong.of(1_200))))
                : List.of());
        HttpResponse<String> response = router.send(router.completion(STREAM));
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("content-type")).hasValue("application/problem+json");
        assertThat(response.headers().firstValue("Retry-After")).hasValue("2");
        assertThat(response.headers().firstValue("Retry-After-Ms")).hasValue("1200");
        assertThat(response.headers().firstValue("Amaranthlock-Fate")).hasValue("not-run");
        assertThat(response.body()).contains("\"code\":\"overloaded\"");
        assertThat(response.body()).contains("\"ran\":\"not-run\"");
    }

    // Guards against a stream that ends like a complete answer although it failed.
    @Test
    void aRefusalAfterTheFirstTokenIsAnErrorEvent() throws Exception {
        var answer = router.sendAsync(router.completion(STREAM));
        RequestSpec spec = router.core.await(Arrived.class).spec();
        router.core.issue(
                new DeliverTokens(spec.id(), 0, List.of("one")),
                new Refuse(
                        spec.id(),
                        new Refusal(
                                ErrorCode.MODEL_VERSION_GONE,
                                ExecutionStatus.RAN,
                                "Send it again.",
                                OptionalLong.empty())));
        assertThat(answer.get().body()).contains("event: error\ndata: {");
        assertThat(answer.get().body()).contains("model-version-gone");
        assertThat(answer.get().body()).doesNotContain("[DONE]");
    }

    // Guards against a gap or a repeat that reaches the caller unnoticed.
    @Test
    void tokensAtAnUnexpectedPositionBreakTheStreamOff() throws Exception {
        var answer = router.sendAsync(router.completion(STREAM));
        RequestSpec spec = router.core.await(Arrived.class).spec();
        router.core.issue(
                new DeliverTokens(spec.id(), 0, List.of("one")), new DeliverTokens(spec.id(), 2, List.of("three")));
        assertThat(router.core.await(ClientDisconnected.class).request()).isEqualTo(spec.id());
        assertThat(answer.handle((response, error) -> error).get())
                .hasCauseThat()
                .isInstanceOf(IOException.class);
    }

    // Guards against work for a caller that left while its answer was streaming.
    @Test
    void aCallerThatLeavesDuringTheStreamIsReported() throws Exception {
        RequestSpec spec;
        try (Socket socket = router.connect()) {
            write(socket, rawCompletion(""));
            spec = router.core.await(Arrived.class).spec();
            router.core.issue(new DeliverTokens(spec.id(), 0, List.of("one")));
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            assertThat(reader.readLine()).contains("200");
            assertThat(reader.lines().filter(line -> line.startsWith("data: ")).findFirst())
                    .isPresent();
        }
        assertThat(router.core.await(ClientDisconnected.class).request()).isEqualTo(spec.id());
    }

    // Guards against work for a caller that left before the first token.
    @Test
    void aCallerThatLeavesBeforeTheFirstTokenIsReported() throws Exception {
        RequestSpec spec;
        try (Socket socket = router.connect()) {
            write(socket, rawCompletion(""));
            spec = router.core.await(Arrived.class).spec();
        }
        assertThat(router.core.await(ClientDisconnected.class).request()).isEqualTo(spec.id());
    }

    // Guards against taking the request "Connection: close" for the caller's absence.
    @Test
    void aCallerThatAsksToCloseAfterTheAnswerGetsItsAnswer() throws Exception {
        try (Socket socket = router.connect()) {
            write(socket, rawCompletion("Connection: close\r\n"));
            RequestSpec spec = router.core.await(Arrived.class).spec();
            router.core.issue(
                    new DeliverTokens(spec.id(), 0, List.of("one")),
                    new CompleteStream(spec.id(), "stop", RouterFixture.completed(spec, 1)));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(answer).contains("[DONE]");
        }
        assertThat(router.core.seen(ClientDisconnected.class)).isEmpty();
    }

    // Guards against unbounded memory for a caller that does not read its answer.
    @Test
    void aCallerThatDoesNotReadIsReportedWhenTheBufferIsFull() throws Exception {
        try (Socket socket = router.connect()) {
            write(socket, rawCompletion(""));
            RequestSpec spec = router.core.await(Arrived.class).spec();
            String token = "x".repeat(100_000);
            for (int i = 0; i < 400; i++) {
                router.core.issue(new DeliverTokens(spec.id(), i, List.of(token)));
            }
            assertThat(router.core.await(ClientDisconnected.class).request()).isEqualTo(spec.id());
        }
    }

    // Guards against a caller who returns on a new connection being reported as gone by the end of the old one.
    @Test
    void theOldConnectionOfAReturnedCallerIsNotItsAbsence() throws Exception {
        var first = router.sendAsync(router.completion(STREAM));
        RequestSpec spec = router.core.await(Arrived.class).spec();
        var second = router.sendAsync(router.completion(STREAM).header("Last-Event-ID", spec.id() + ":0"));
        router.core.await(Arrived.class);
        assertThat(first.get().statusCode()).isEqualTo(409);
        router.core.issue(
                new DeliverTokens(spec.id(), 1, List.of("rest")),
                new CompleteStream(spec.id(), "stop", RouterFixture.completed(spec, 2)));
        assertThat(second.get().body()).contains("rest");
        assertThat(router.core.seen(ClientDisconnected.class)).isEmpty();
    }

    // Guards against a caller that ends or takes the answer of another account by guessing its request id.
    @Test
    void theIdOfAnotherAccountsRequestIsRefusedAndItsAnswerGoesOn() throws Exception {
        var answer = router.sendAsync(router.completion(STREAM));
        RequestSpec spec = router.core.await(Arrived.class).spec();
        var foreign = router.request("/v1/chat/completions")
                .header("Authorization", "Bearer " + RouterFixture.OTHER_ACCOUNT_KEY)
                .header("Last-Event-ID", spec.id() + ":0")
                .POST(BodyPublishers.ofString(STREAM));
        assertThat(router.send(foreign).statusCode()).isEqualTo(404);
        router.core.issue(
                new DeliverTokens(spec.id(), 0, List.of("own")),
                new CompleteStream(spec.id(), "stop", RouterFixture.completed(spec, 1)));
        assertThat(answer.get().body()).contains("own");
        assertThat(router.core.seen(Arrived.class)).isEmpty();
    }

    // Guards against bodies that exceed the memory planned for a request.
    @Test
    void anOversizeBodyIsRefusedWithAndWithoutDeclaredLength() throws Exception {
        String big = "x".repeat((1 << 20) + 1);
        HttpResponse<String> declared = router.send(router.completion(big));
        assertThat(declared.statusCode()).isEqualTo(413);
        assertThat(declared.body()).contains("payload-too-large");
        var chunked = router.request("/v1/chat/completions")
                .header("Authorization", "Bearer " + RouterFixture.ACCOUNT_KEY)
                .POST(BodyPublishers.fromPublisher(BodyPublishers.ofString(big)));
        assertThat(router.send(chunked).statusCode()).isEqualTo(413);
        assertThat(router.core.seen(Arrived.class)).isEmpty();
    }

    // Guards against clients that hold a connection with a request that they never finish.
    @Test
    void anUnfinishedRequestIsEndedAfterTheReadTime() throws Exception {
        try (RouterFixture impatient = new RouterFixture(Duration.ofMillis(300));
                Socket halfHead = impatient.connect();
                Socket halfBody = impatient.connect()) {
            write(halfHead, "POST /v1/chat/completions HTTP/1.1\r\nHost: rou");
            write(halfBody, rawCompletion("").substring(0, rawCompletion("").length() - 1));
            assertThat(readToEnd(halfHead)).isEmpty();
            assertThat(readToEnd(halfBody)).contains("invalid-request");
            assertThat(impatient.core.seen(Arrived.class)).isEmpty();
        }
    }

    // Guards against headers that exceed the memory planned for a request.
    @Test
    void oversizeHeadersAreRefused() throws Exception {
        var request = router.completion(WHOLE);
        for (int i = 0; i < 5; i++) {
            request.header("X-Filler-" + i, "x".repeat(4_000));
        }
        assertThat(router.send(request).statusCode()).isEqualTo(413);
    }

    // Guards against malformed input that reaches the core or is answered without a remedy.
    @Test
    void malformedInputIsRefusedWithARemedy() throws Exception {
        Map<String, String> remedies = Map.of(
                "{",
                "valid JSON",
                "[]",
                "JSON object",
                "{\"model\":\"drafts\",\"messages\":[]}",
                "'messages'",
                "{\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}",
                "'model'",
                WHOLE.replace("}]}", "}],\"max_tokens\":0}"),
                "'max_tokens'",
                WHOLE.replace("}]}", "}],\"stop\":\"x\"}"),
                "'stop'");
        for (Map.Entry<String, String> input : remedies.entrySet()) {
            HttpResponse<String> response = router.send(router.completion(input.getKey()));
            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(response.body()).contains(input.getValue());
        }
        assertThat(router.send(router.completion(STREAM).header("Last-Event-ID", "nonsense"))
                        .statusCode())
                .isEqualTo(400);
        assertThat(router.send(router.completion(WHOLE).header("Amaranthlock-Deadline-Ms", "soon"))
                        .statusCode())
                .isEqualTo(400);
        assertThat(router.core.seen(Arrived.class)).isEmpty();
    }

    // Guards against an error of the router, or a closed connection, for a request target that is no path.
    @Test
    void strangeRequestTargetsAreRefused() throws Exception {
        for (String target : List.of("*", "/services/", "/services/orders", "//", "/%zz", "/v1/unknown?x=[")) {
            try (Socket socket = router.connect()) {
                write(socket, "GET " + target + " HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n");
                assertThat(readToEnd(socket)).containsMatch("^HTTP/1.1 4\\d\\d ");
            }
        }
    }

    // Guards against work on nobody's account, and against calls of services that do not exist.
    @Test
    void unknownKeysAndServicesAreRefusedAsNotRun() throws Exception {
        var wrongKey = router.request("/v1/chat/completions")
                .header("Authorization", "Bearer wrong")
                .POST(BodyPublishers.ofString(WHOLE));
        HttpResponse<String> response = router.send(wrongKey);
        assertThat(response.statusCode()).isEqualTo(401);
        assertThat(response.body()).contains("\"ran\":\"not-run\"");
        assertThat(router.send(router.completion(WHOLE.replace("drafts", "nothing")))
                        .statusCode())
                .isEqualTo(404);
        assertThat(router.core.seen(Arrived.class)).isEmpty();
    }

    // Guards against lost or added parts of a proxied call, and against leaking the account key to a service.
    @Test
    void aPlainServiceIsCalledWithPathQueryAndBody() throws Exception {
        router.core.onEvent(event -> event instanceof Arrived arrived
                ? List.of(new DeliverResponse(
                        arrived.request(),
                        new ServiceResponse(
                                201,
                                Map.of("x-desk", "3", "transfer-encoding", "chunked"),
                                "done".getBytes(StandardCharsets.UTF_8)),
                        RouterFixture.completed(arrived.spec(), 0)))
                : List.of());
        HttpResponse<String> response = router.send(router.request("/services/orders/stock?shop=4")
                .header("Authorization", "Bearer " + RouterFixture.ACCOUNT_KEY)
                .header("X-Shop", "4")
                .PUT(BodyPublishers.ofString("two pallets")));
        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(response.body()).isEqualTo("done");
        assertThat(response.headers().firstValue("x-desk")).hasValue("3");
        assertThat(response.headers().firstValue("Amaranthlock-Fate")).hasValue("ran");
        Work.ServiceCall call =
                (Work.ServiceCall) router.core.await(Arrived.class).spec().work();
        assertThat(call.method()).isEqualTo("PUT");
        assertThat(call.path()).isEqualTo("/stock?shop=4");
        assertThat(call.headers()).containsEntry("x-shop", "4");
        assertThat(call.headers()).doesNotContainKey("authorization");
        assertThat(new String(call.body(), StandardCharsets.UTF_8)).isEqualTo("two pallets");
    }

    private static String rawCompletion(String headers) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer "
                + RouterFixture.ACCOUNT_KEY + "\r\n" + headers + "Content-Length: " + STREAM.length() + "\r\n\r\n"
                + STREAM;
    }

    /** Reads until the end of the connection; unread bytes at the server turn the end into a reset. */
    private static String readToEnd(Socket socket) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(bytes);
        } catch (SocketException e) {
            assertThat(e).hasMessageThat().contains("reset");
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }
}
