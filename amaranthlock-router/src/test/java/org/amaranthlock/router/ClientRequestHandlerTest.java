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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
class ClientRequestHandlerTest {
    private static final String STREAMING_BODY =
            "{\"model\":\"drafts/legal\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}";
    private static final String NON_STREAMING_BODY =
            "{\"model\":\"drafts\",\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}";

    private final RouterFixture router = new RouterFixture();

    @AfterEach
    void stop() {
        router.close();
    }

    // Guards against missing or repeated tokens, and events without an id, in a streamed response.
    @Test
    void streamedResponseContainsAllTokensWithResumableIds() throws Exception {
        var responseFuture = router.sendAsync(router.chatCompletion(STREAMING_BODY));
        RequestSpec spec = router.core.awaitEvent(Arrived.class).spec();
        router.core.returnAtNextTick(
                new DeliverTokens(spec.id(), 0, List.of("one", " two")),
                new DeliverTokens(spec.id(), 2, List.of(" three")),
                new CompleteStream(spec.id(), "stop", RouterFixture.completedOutcome(spec, 3)));
        HttpResponse<String> response = responseFuture.get();
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

    // Guards against a resumed response that starts over or gets a new request id.
    @Test
    void resumingClientKeepsItsRequestIdAndContinuesAtTheNextPosition() throws Exception {
        RequestId original = LedgerPartitions.requestId(5, "router-9-abc-1");
        var responseFuture =
                router.sendAsync(router.chatCompletion(STREAMING_BODY).header("Last-Event-ID", original + ":41"));
        Arrived arrived = router.core.awaitEvent(Arrived.class);
        assertThat(arrived.request()).isEqualTo(original);
        assertThat(arrived.resumeIndex()).isEqualTo(OptionalInt.of(42));
        router.core.returnAtNextTick(
                new DeliverTokens(original, 42, List.of("rest")),
                new CompleteStream(original, "stop", RouterFixture.completedOutcome(arrived.spec(), 43)));
        assertThat(responseFuture.get().body()).contains("id: " + original + ":42");
    }

    // Guards against outcome records that can't be found by the request id of a request with an idempotency key.
    @Test
    void requestIdContainsThePartitionOfTheIdempotencyKey() throws Exception {
        var responseFuture =
                router.sendAsync(router.chatCompletion(NON_STREAMING_BODY).header("Idempotency-Key", "order-17"));
        RequestSpec spec = router.core.awaitEvent(Arrived.class).spec();
        assertThat(LedgerPartitions.ofRequest(spec.id())).isEqualTo(LedgerPartitions.ofKey("shops/order-17"));
        router.core.returnAtNextTick(
                new DeliverTokens(spec.id(), 0, List.of("a", "b")),
                new CompleteStream(spec.id(), "length", RouterFixture.completedOutcome(spec, 2)));
        assertThat(responseFuture.get().body()).contains("\"content\":\"ab\"");
        assertThat(responseFuture.get().body()).contains("\"completion_tokens\":2");
    }

    // Guards against error responses that don't say whether the request was executed or when to retry.
    @Test
    void refusalIsSentAsProblemDetailsWithExecutionStatusAndRetryTimes() throws Exception {
        router.core.onEvent(event -> event instanceof Arrived arrived
                ? List.of(new Refuse(
                        arrived.request(),
                        new Refusal(
                                ErrorCode.OVERLOADED,
                                ExecutionStatus.NOT_RUN,
                                "Come back later.",
                                OptionalLong.of(1_200))))
                : List.of());
        HttpResponse<String> response = router.send(router.chatCompletion(STREAMING_BODY));
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("content-type")).hasValue("application/problem+json");
        assertThat(response.headers().firstValue("Retry-After")).hasValue("2");
        assertThat(response.headers().firstValue("Retry-After-Ms")).hasValue("1200");
        assertThat(response.headers().firstValue("Amaranthlock-Fate")).hasValue("not-run");
        assertThat(response.body()).contains("\"code\":\"overloaded\"");
        assertThat(response.body()).contains("\"ran\":\"not-run\"");
    }

    // Guards against a failed stream that ends like a complete response.
    @Test
    void refusalAfterTheFirstTokenIsSentAsErrorEvent() throws Exception {
        var responseFuture = router.sendAsync(router.chatCompletion(STREAMING_BODY));
        RequestSpec spec = router.core.awaitEvent(Arrived.class).spec();
        router.core.returnAtNextTick(
                new DeliverTokens(spec.id(), 0, List.of("one")),
                new Refuse(
                        spec.id(),
                        new Refusal(
                                ErrorCode.MODEL_VERSION_GONE,
                                ExecutionStatus.RAN,
                                "Send it again.",
                                OptionalLong.empty())));
        assertThat(responseFuture.get().body()).contains("event: error\ndata: {");
        assertThat(responseFuture.get().body()).contains("model-version-gone");
        assertThat(responseFuture.get().body()).doesNotContain("[DONE]");
    }

    // Guards against gaps and duplicates that the client can't detect.
    @Test
    void tokensAtAnUnexpectedPositionAbortTheStream() throws Exception {
        var responseFuture = router.sendAsync(router.chatCompletion(STREAMING_BODY));
        RequestSpec spec = router.core.awaitEvent(Arrived.class).spec();
        router.core.returnAtNextTick(
                new DeliverTokens(spec.id(), 0, List.of("one")), new DeliverTokens(spec.id(), 2, List.of("three")));
        assertThat(router.core.awaitEvent(ClientDisconnected.class).request()).isEqualTo(spec.id());
        assertThat(responseFuture.handle((response, error) -> error).get())
                .hasCauseThat()
                .isInstanceOf(IOException.class);
    }

    // Guards against further work for a client that disconnected during the stream.
    @Test
    void disconnectDuringTheStreamIsReported() throws Exception {
        RequestSpec spec;
        try (Socket socket = router.connect()) {
            write(socket, rawCompletion(""));
            spec = router.core.awaitEvent(Arrived.class).spec();
            router.core.returnAtNextTick(new DeliverTokens(spec.id(), 0, List.of("one")));
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            assertThat(reader.readLine()).contains("200");
            assertThat(reader.lines().filter(line -> line.startsWith("data: ")).findFirst())
                    .isPresent();
        }
        assertThat(router.core.awaitEvent(ClientDisconnected.class).request()).isEqualTo(spec.id());
    }

    // Guards against further work for a client that disconnected before the first token.
    @Test
    void disconnectBeforeTheFirstTokenIsReported() throws Exception {
        RequestSpec spec;
        try (Socket socket = router.connect()) {
            write(socket, rawCompletion(""));
            spec = router.core.awaitEvent(Arrived.class).spec();
        }
        assertThat(router.core.awaitEvent(ClientDisconnected.class).request()).isEqualTo(spec.id());
    }

    // Guards against treating the request header "Connection: close" as a disconnect.
    @Test
    void connectionCloseRequestHeaderIsNotTakenForADisconnect() throws Exception {
        try (Socket socket = router.connect()) {
            write(socket, rawCompletion("Connection: close\r\n"));
            RequestSpec spec = router.core.awaitEvent(Arrived.class).spec();
            router.core.returnAtNextTick(
                    new DeliverTokens(spec.id(), 0, List.of("one")),
                    new CompleteStream(spec.id(), "stop", RouterFixture.completedOutcome(spec, 1)));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response).contains("[DONE]");
        }
        assertThat(router.core.findReceived(ClientDisconnected.class)).isEmpty();
    }

    // Guards against request smuggling: a body in a coding that has no end for the decoder is read as the next request.
    @ParameterizedTest
    @ValueSource(strings = {"identity", "gzip", "gzip, chunked", "chunked\r\nContent-Length: 5"})
    void requestInsideABodyInAnUnknownCodingDoesNotRun(String coding) throws Exception {
        try (Socket socket = router.connect()) {
            String outer =
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
            write(socket, outer + rawCompletion(""));
            assertThat(readToEnd(socket)).doesNotContain("HTTP/1.1 200");
        }
        assertThat(router.core.findReceived(Arrived.class)).isEmpty();
    }

    // As above, for a request of the earlier protocol version, of whose two lengths the decoder takes the first one.
    @Test
    void requestWithTwoLengthsDoesNotRun() throws Exception {
        try (Socket socket = router.connect()) {
            String request = rawCompletion("Content-Length: 2\r\n").replace("HTTP/1.1", "HTTP/1.0");
            write(socket, request);
            assertThat(readToEnd(socket)).doesNotContain("HTTP/1.1 200");
        }
        assertThat(router.core.findReceived(Arrived.class)).isEmpty();
    }

    // Guards against unbounded buffering for a client that does not read its response.
    @Test
    void slowReaderIsReportedAsDisconnectedWhenTheBufferIsFull() throws Exception {
        try (Socket socket = router.connect()) {
            write(socket, rawCompletion(""));
            RequestSpec spec = router.core.awaitEvent(Arrived.class).spec();
            String token = "x".repeat(100_000);
            for (int i = 0; i < 400; i++) {
                router.core.returnAtNextTick(new DeliverTokens(spec.id(), i, List.of(token)));
            }
            assertThat(router.core.awaitEvent(ClientDisconnected.class).request())
                    .isEqualTo(spec.id());
        }
    }

    // Guards against reporting a disconnect when a client has resumed on a new connection and the old one closes.
    @Test
    void closingTheSupersededConnectionIsNotReportedAsDisconnect() throws Exception {
        var first = router.sendAsync(router.chatCompletion(STREAMING_BODY));
        RequestSpec spec = router.core.awaitEvent(Arrived.class).spec();
        var second = router.sendAsync(router.chatCompletion(STREAMING_BODY).header("Last-Event-ID", spec.id() + ":0"));
        router.core.awaitEvent(Arrived.class);
        assertThat(first.get().statusCode()).isEqualTo(409);
        router.core.returnAtNextTick(
                new DeliverTokens(spec.id(), 1, List.of("rest")),
                new CompleteStream(spec.id(), "stop", RouterFixture.completedOutcome(spec, 2)));
        assertThat(second.get().body()).contains("rest");
        assertThat(router.core.findReceived(ClientDisconnected.class)).isEmpty();
    }

    // Guards against ending or reading another account's response by guessing its request id.
    @Test
    void requestIdOfAnotherAccountIsRejectedAndThatRequestContinues() throws Exception {
        var responseFuture = router.sendAsync(router.chatCompletion(STREAMING_BODY));
        RequestSpec spec = router.core.awaitEvent(Arrived.class).spec();
        var otherAccountsRequest = router.request("/v1/chat/completions")
                .header("Authorization", "Bearer " + RouterFixture.OTHER_ACCOUNT_KEY)
                .header("Last-Event-ID", spec.id() + ":0")
                .POST(BodyPublishers.ofString(STREAMING_BODY));
        assertThat(router.send(otherAccountsRequest).statusCode()).isEqualTo(404);
        router.core.returnAtNextTick(
                new DeliverTokens(spec.id(), 0, List.of("own")),
                new CompleteStream(spec.id(), "stop", RouterFixture.completedOutcome(spec, 1)));
        assertThat(responseFuture.get().body()).contains("own");
        assertThat(router.core.findReceived(Arrived.class)).isEmpty();
    }

    // Guards against bodies that exceed the memory limit of a request.
    @Test
    void oversizedBodyIsRejectedWithAndWithoutDeclaredLength() throws Exception {
        String oversizedBody = "x".repeat((1 << 20) + 1);
        HttpResponse<String> declared = router.send(router.chatCompletion(oversizedBody));
        assertThat(declared.statusCode()).isEqualTo(413);
        assertThat(declared.body()).contains("payload-too-large");
        var chunked = router.request("/v1/chat/completions")
                .header("Authorization", "Bearer " + RouterFixture.ACCOUNT_KEY)
                .POST(BodyPublishers.fromPublisher(BodyPublishers.ofString(oversizedBody)));
        assertThat(router.send(chunked).statusCode()).isEqualTo(413);
        assertThat(router.core.findReceived(Arrived.class)).isEmpty();
    }

    // Guards against clients that hold a connection by never completing a request.
    @Test
    void incompleteRequestIsClosedAfterTheReadTimeout() throws Exception {
        try (RouterFixture shortTimeoutRouter = new RouterFixture(Duration.ofMillis(300));
                Socket halfHead = shortTimeoutRouter.connect();
                Socket halfBody = shortTimeoutRouter.connect()) {
            write(halfHead, "POST /v1/chat/completions HTTP/1.1\r\nHost: rou");
            write(halfBody, rawCompletion("").substring(0, rawCompletion("").length() - 1));
            assertThat(readToEnd(halfHead)).isEmpty();
            assertThat(readToEnd(halfBody)).contains("invalid-request");
            assertThat(shortTimeoutRouter.core.findReceived(Arrived.class)).isEmpty();
        }
    }

    // Guards against headers that exceed the memory limit of a request.
    @Test
    void oversizedHeadersAreRejected() throws Exception {
        var request = router.chatCompletion(NON_STREAMING_BODY);
        for (int i = 0; i < 5; i++) {
            request.header("X-Filler-" + i, "x".repeat(4_000));
        }
        assertThat(router.send(request).statusCode()).isEqualTo(413);
    }

    // Guards against malformed input that reaches the decision core, and against errors that name no remedy.
    @Test
    void malformedInputIsRejectedWithARemedy() throws Exception {
        Map<String, String> expectedTextByBody = Map.of(
                "{",
                "valid JSON",
                "[]",
                "JSON object",
                "{\"model\":\"drafts\",\"messages\":[]}",
                "'messages'",
                "{\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}",
                "'model'",
                NON_STREAMING_BODY.replace("}]}", "}],\"max_tokens\":0}"),
                "'max_tokens'",
                NON_STREAMING_BODY.replace("}]}", "}],\"stop\":\"x\"}"),
                "'stop'");
        for (Map.Entry<String, String> input : expectedTextByBody.entrySet()) {
            HttpResponse<String> response = router.send(router.chatCompletion(input.getKey()));
            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(response.body()).contains(input.getValue());
        }
        assertThat(router.send(router.chatCompletion(STREAMING_BODY).header("Last-Event-ID", "nonsense"))
                        .statusCode())
                .isEqualTo(400);
        assertThat(router.send(router.chatCompletion(NON_STREAMING_BODY).header("Amaranthlock-Deadline-Ms", "soon"))
                        .statusCode())
                .isEqualTo(400);
        assertThat(router.core.findReceived(Arrived.class)).isEmpty();
    }

    // Guards against an internal error, or a closed connection, for a request target that is not a valid path.
    @Test
    void invalidRequestTargetsAreRejected() throws Exception {
        for (String target : List.of("*", "/services/", "/services/orders", "//", "/%zz", "/v1/unknown?x=[")) {
            try (Socket socket = router.connect()) {
                write(socket, "GET " + target + " HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n");
                assertThat(readToEnd(socket)).containsMatch("^HTTP/1.1 4\\d\\d ");
            }
        }
    }

    // Guards against executing requests of unknown accounts or for services that do not exist.
    @Test
    void unknownKeysAndServicesAreRejectedAsNotRun() throws Exception {
        var wrongKey = router.request("/v1/chat/completions")
                .header("Authorization", "Bearer wrong")
                .POST(BodyPublishers.ofString(NON_STREAMING_BODY));
        HttpResponse<String> response = router.send(wrongKey);
        assertThat(response.statusCode()).isEqualTo(401);
        assertThat(response.body()).contains("\"ran\":\"not-run\"");
        assertThat(router.send(router.chatCompletion(NON_STREAMING_BODY.replace("drafts", "nothing")))
                        .statusCode())
                .isEqualTo(404);
        assertThat(router.core.findReceived(Arrived.class)).isEmpty();
    }

    // Guards against parts of a proxied call being lost or added, and against leaking the account key to a service.
    @Test
    void plainServiceCallCarriesPathQueryAndBody() throws Exception {
        router.core.onEvent(event -> event instanceof Arrived arrived
                ? List.of(new DeliverResponse(
                        arrived.request(),
                        new ServiceResponse(
                                201,
                                Map.of("x-desk", "3", "transfer-encoding", "chunked"),
                                "done".getBytes(StandardCharsets.UTF_8)),
                        RouterFixture.completedOutcome(arrived.spec(), 0)))
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
                (Work.ServiceCall) router.core.awaitEvent(Arrived.class).spec().work();
        assertThat(call.method()).isEqualTo("PUT");
        assertThat(call.path()).isEqualTo("/stock?shop=4");
        assertThat(call.headers()).containsEntry("x-shop", "4");
        assertThat(call.headers()).doesNotContainKey("authorization");
        assertThat(new String(call.body(), StandardCharsets.UTF_8)).isEqualTo("two pallets");
    }

    private static String rawCompletion(String headers) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer "
                + RouterFixture.ACCOUNT_KEY + "\r\n" + headers + "Content-Length: " + STREAMING_BODY.length()
                + "\r\n\r\n"
                + STREAMING_BODY;
    }

    /** Reads until the connection ends; a reset is accepted, because the server may close with unread bytes. */
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
