package org.amaranthlock.entry.front;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.forwarding.RequestLimits;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.coordination.forwarding.TargetStatements;
import org.amaranthlock.platform.ClientRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClientConnectionHandlerTest {
    private static final String HEAD = "Host: h\r\nX-Request-Id: r1\r\n";
    private static final RequestLimits LIMITS = new RequestLimits(1_024, 100, 3_000, 15_000);

    private final RecordingExchangeHandler handler = new RecordingExchangeHandler();
    private final ClientConnectionHandler connection = new ClientConnectionHandler(handler, UnreadBytes.ofHeap());
    private final EmbeddedChannel channel = channel();

    private static final class RecordingExchangeHandler implements ClientExchangeHandler {
        final List<ClientRequest> requests = new ArrayList<>();
        final List<ClientExchange> exchanges = new ArrayList<>();
        int disconnects;
        boolean draining;

        @Override
        public void handle(ClientRequest request, ClientExchange exchange) {
            requests.add(request);
            exchanges.add(exchange);
            exchange.onDisconnect(() -> disconnects++);
        }

        @Override
        public RequestLimits limits() {
            return LIMITS;
        }

        @Override
        public boolean draining() {
            return draining;
        }

        @Override
        public void onClientTooSlow(String requestId) {
            throw new AssertionError("no client of this test is slow");
        }

        @Override
        public void onRejectedEarly(String requestId, int status, String reason) {
            // The tests check the status in the encoded response.
        }
    }

    @Test
    void handsRequestToHandlerAndResponseToClient() {
        send("POST /p/x HTTP/1.1\r\n" + HEAD + "Content-Length: 3\r\n\r\nabc");
        assertThat(handler.requests.getFirst().body()).hasLength(3);
        handler.exchanges.getFirst().respond(okResponse());
        assertThat(received()).contains("HTTP/1.1 200 OK");
        assertThat(channel.isOpen()).isTrue();
    }

    @Test
    void readsChunkedBody() {
        send("POST /p/x HTTP/1.1\r\n" + HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
        assertThat(new String(handler.requests.getFirst().body(), StandardCharsets.US_ASCII))
                .isEqualTo("abc");
    }

    // Guards against request smuggling: a request hidden in the body of another one.
    @Test
    void rejectsContentLengthWithTransferEncoding() {
        send("POST /p/x HTTP/1.1\r\n" + HEAD + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "0\r\n\r\nGET /hidden HTTP/1.1\r\n" + HEAD + "\r\n");
        assertThat(received()).contains("HTTP/1.1 400");
        assertThat(handler.requests).isEmpty();
    }

    // Guards against request smuggling: if no header that this host understands says where the body ends, the body is
    // taken for the next request, and the request runs without its body.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: identity",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: chunked;q=1",
                "Transfer-Encoding:",
                "Transfer-Encoding: ,",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
                "Transfer-Encoding: identity\r\nContent-Length: 0",
            })
    void rejectsBodyInCodingWithoutAnEnd(String framing) {
        send("POST /p/x HTTP/1.1\r\n" + HEAD + framing + "\r\n\r\nPOST /hidden HTTP/1.1\r\n" + HEAD + "\r\n");
        assertThat(received()).contains("HTTP/1.1 400");
        assertThat(handler.requests).isEmpty();
    }

    // Guards against a body that reaches the target in a coding which nothing names there.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked, chunked",
            })
    void rejectsChunkedBodyInAnotherCoding(String framing) {
        send("POST /p/x HTTP/1.1\r\n" + HEAD + framing + "\r\n\r\n2\r\nab\r\n0\r\n\r\n");
        assertThat(received()).contains("HTTP/1.1 400");
        assertThat(handler.requests).isEmpty();
    }

    // HTTP/1.0 knows no chunks, so that an earlier receiver may have seen another end of the body.
    @Test
    void rejectsChunkedBodyOfEarlierProtocolVersion() {
        send("POST /p/x HTTP/1.0\r\n" + HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
        assertThat(received()).contains("HTTP/1.1 400");
        assertThat(handler.requests).isEmpty();
    }

    // As above: of two lengths, the decoder takes the first one if the request is of the earlier protocol version.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 0\r\nContent-Length: 9",
                "Content-Length: 9\r\nContent-Length: 0",
                "Content-Length: 9\r\nContent-Length: 9",
                "Content-Length: 0, 9",
                "Content-Length: 0,9\r\nContent-Length: 9",
            })
    void rejectsSeveralContentLengthsOfEarlierProtocolVersion(String framing) {
        send("POST /p/x HTTP/1.0\r\n" + HEAD + framing + "\r\n\r\nwith body");
        assertThat(received()).contains("400");
        assertThat(handler.requests).isEmpty();
    }

    @Test
    void readsBodyWithOneLengthOfEarlierProtocolVersion() {
        send("POST /p/x HTTP/1.0\r\n" + HEAD + "Content-Length: 9\r\n\r\nwith body");
        assertThat(handler.requests.getFirst().body()).hasLength(9);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Chunked", "chunked ", " CHUNKED"})
    void readsChunkedBodyHoweverTheCodingIsSpelled(String coding) {
        send("POST /p/x HTTP/1.1\r\n" + HEAD + "Transfer-Encoding:" + coding + "\r\n\r\n2\r\nab\r\n0\r\n\r\n");
        assertThat(handler.requests.getFirst().body()).hasLength(2);
    }

    @Test
    void rejectsConflictingContentLengths() {
        send("POST /p/x HTTP/1.1\r\n" + HEAD + "Content-Length: 3\r\nContent-Length: 30\r\n\r\nabc");
        assertThat(received()).contains("HTTP/1.1 400");
        assertThat(handler.requests).isEmpty();
    }

    @Test
    void readsEmbeddedRequestTextAsBody() {
        String body = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
        send("POST /p/x HTTP/1.1\r\n" + HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        handler.exchanges.getFirst().respond(okResponse());
        assertThat(handler.requests).hasSize(1);
    }

    @Test
    void rejectsTooLargeContentLength() {
        send("POST /p/x HTTP/1.1\r\n" + HEAD + "Content-Length: 101\r\n\r\n");
        assertThat(received()).contains("HTTP/1.1 413");
    }

    @Test
    void rejectsTooLargeChunkedBody() {
        send("POST /p/x HTTP/1.1\r\n" + HEAD + "Transfer-Encoding: chunked\r\n\r\n80\r\n" + "a".repeat(128) + "\r\n");
        assertThat(received()).contains("HTTP/1.1 413");
    }

    @Test
    void rejectsTooLargeHeaders() {
        send("GET /p/x HTTP/1.1\r\n" + HEAD + "X-Long: " + "a".repeat(1_100) + "\r\n\r\n");
        assertThat(received()).contains("HTTP/1.1 431");
    }

    @Test
    void rejectsHeadersNotCompletedInTime() {
        send("GET /p/x HTTP/1.1\r\nHost: h\r\n");
        channel.advanceTimeBy(3_001, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(received()).contains("HTTP/1.1 408");
    }

    // Guards against closing an idle connection before the advertised idle timeout.
    @Test
    void keepsIdleConnectionUntilIdleTimeout() {
        channel.advanceTimeBy(14_900, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(channel.isOpen()).isTrue();
        channel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void handlesPipelinedRequestsInOrder() {
        send("GET /p/1 HTTP/1.1\r\n" + HEAD + "\r\nGET /p/2 HTTP/1.1\r\n" + HEAD + "\r\n");
        assertThat(handler.requests).hasSize(1);
        handler.exchanges.getFirst().respond(okResponse());
        channel.runPendingTasks();
        assertThat(handler.requests.get(1).path()).isEqualTo("/p/2");
    }

    @Test
    void notifiesExchangeOfClientDisconnect() {
        send("GET /p/1 HTTP/1.1\r\n" + HEAD + "\r\n");
        channel.close();
        assertThat(handler.disconnects).isEqualTo(1);
    }

    @Test
    void closesConnectionAfterResponseWhileDraining() {
        handler.draining = true;
        send("GET /p/1 HTTP/1.1\r\n" + HEAD + "\r\n");
        assertThat(channel.isOpen()).isTrue();
        handler.exchanges.getFirst().respond(okResponse());
        assertThat(received().toLowerCase(java.util.Locale.ROOT)).contains("connection: close");
        assertThat(channel.isOpen()).isFalse();
    }

    // Guards against a planned stop that cuts a request whose first bytes have arrived.
    @Test
    void requestOfWhichAPartHasArrivedIsServedWhileDraining() {
        send("GET /p/1 HTTP/1.1\r\nHost: h\r\n");
        handler.draining = true;
        connection.drain();
        advance(500);
        assertThat(channel.isOpen()).isTrue();
        send("X-Request-Id: r1\r\n\r\n");
        handler.exchanges.getFirst().respond(okResponse());
        assertThat(received()).contains("HTTP/1.1 200 OK");
        assertThat(channel.isOpen()).isFalse();
    }

    // Guards against a planned stop that cuts a request which lies unread in the socket.
    @Test
    void requestThatArrivesWithTheStopIsServed() {
        handler.draining = true;
        connection.drain();
        send("GET /p/1 HTTP/1.1\r\n" + HEAD + "\r\n");
        advance(500);
        handler.exchanges.getFirst().respond(okResponse());
        assertThat(received()).contains("HTTP/1.1 200 OK");
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void idleConnectionIsClosedSoonWhileDraining() {
        handler.draining = true;
        connection.drain();
        advance(500);
        assertThat(channel.isOpen()).isFalse();
    }

    // Guards against a planned stop that cuts a request whose body its client still sends.
    @Test
    void requestThatIsNotReadInTimeIsRejectedAsNotRun() {
        send("POST /p/1 HTTP/1.1\r\n" + HEAD + "Content-Length: 9\r\n\r\nabc");
        handler.draining = true;
        connection.drain();
        connection.endUnread();
        assertThat(received()).contains("HTTP/1.1 503");
        assertThat(handler.requests).isEmpty();
    }

    // Guards against a client that sends a byte of its body now and then and never ends.
    @Test
    void bodyOfClientWithoutDeadlineMustArriveInTime() {
        send("POST /p/1 HTTP/1.1\r\n" + HEAD + "Content-Length: 90\r\n\r\n");
        for (int second = 0; second < 20 && channel.isOpen(); second++) {
            send("a");
            advance(1_000);
        }
        assertThat(received()).contains("HTTP/1.1 408");
        assertThat(handler.requests).isEmpty();
    }

    // Guards against an aborted stream that looks complete to the client.
    @Test
    void closesAbortedStreamWithoutLastChunk() {
        send("POST /s/1 HTTP/1.1\r\n" + HEAD + "\r\n");
        ClientExchange exchange = handler.exchanges.getFirst();
        exchange.openStream(okResponse(), Optional.empty());
        exchange.writeEvents("id: 0\n\n".getBytes(StandardCharsets.US_ASCII));
        exchange.abort();
        assertThat(received()).doesNotContain("\r\n0\r\n\r\n");
        assertThat(channel.isOpen()).isFalse();
    }

    private EmbeddedChannel channel() {
        EmbeddedChannel created = new EmbeddedChannel();
        created.freezeTime();
        created.pipeline()
                .addLast(new BytesReceivedHandler(connection))
                .addLast(new StrictRequestDecoder(LIMITS.maxHeaderBytes()))
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
        connection.channelActive(created.pipeline().context(connection));
        return created;
    }

    private void advance(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private String received() {
        StringBuilder text = new StringBuilder();
        for (Object part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(((ByteBuf) part).toString(StandardCharsets.US_ASCII));
        }
        return text.toString();
    }

    private static TargetResponse okResponse() {
        return new TargetResponse(
                200, List.of(Map.entry("X-Request-Id", "r1")), true, false, TargetStatements.NONE, new byte[] {'o', 'k'
                });
    }
}
