package org.amaranthlock.transport.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.amaranthlock.transport.target.TargetSamples.ATTEMPT;
import static org.amaranthlock.transport.target.TargetSamples.spec;
import static org.amaranthlock.transport.target.TargetSamples.target;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent.AttemptFailed;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.Work;
import org.amaranthlock.transport.RecordingEventSink;
import org.amaranthlock.transport.ScriptedHttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests calls of services and streams of engines whose responses HTTP does not allow. */
class MalformedResponseTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final List<Integer> UPLOAD_BYTES = List.of(100_000, 1_000_000, 16_000_000);
    private static final int UPLOADS_OF_EACH_LENGTH = 8;
    private static final int UPLOAD_PART_BYTES = 50_000;

    private final RecordingEventSink events = new RecordingEventSink();
    private final HttpTargetTransport transport = new HttpTargetTransport(events);

    @AfterEach
    void stop() {
        transport.stop();
    }

    /** Guards against a client that gets as an answer what is none. */
    @Test
    void responseThatHttpDoesNotAllowIsLost() throws Exception {
        List<String> answers = new ArrayList<>();
        for (String line : List.of("000 x", "099 x", "600 x", "999 x", "20 x", "2000 x", "+20 x", "101 x")) {
            answers.add("HTTP/1.1 " + line + "\r\ncontent-length: 2\r\n\r\nok");
        }
        for (String line : List.of("HTTP/2.0 200 x", "http/1.1 200 x", " HTTP/1.1 200 x", "HTTP/1.1 200 x\u0000")) {
            answers.add(line + "\r\ncontent-length: 2\r\n\r\nok");
        }
        for (String line : List.of(
                "x-a b: v", "x-a\tb: v", "x\u0001a: v", "x-a", ": v", "x-a: v\u0000w", "x-a: v\u0001w", "x-a: v\rw")) {
            answers.add("HTTP/1.1 200 OK\r\n" + line + "\r\ncontent-length: 2\r\n\r\nok");
        }
        for (String coding : List.of("gzip", "identity", "gzip, chunked", "")) {
            answers.add("HTTP/1.1 200 OK\r\ntransfer-encoding: " + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        }
        String chunked = " 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        answers.add("HTTP/1.0" + chunked + "2\r\nok\r\n0\r\n\r\n");
        answers.add("HTTP/1.1" + chunked + "100000002\r\nok\r\n0\r\n\r\n");
        answers.add("HTTP/1.1" + chunked + "2\r\nok\r\n0\r\nx-a b: v\r\n\r\n");
        assertLost(answers);
    }

    /** Guards against the line of a status or of a chunk that a lenient decoder reads as another one. */
    @Test
    void responseThatOnlyALenientDecoderReadsIsLost() throws Exception {
        List<String> answers = new ArrayList<>();
        for (String line : List.of("\r\nHTTP/1.1 200 x", "HTTP/1.1\t200\tx", "HTTP/1.1 200")) {
            answers.add(line + "\r\ncontent-length: 2\r\n\r\nok");
        }
        for (String size : List.of("+2", " 2", "2 5", "2\u0000")) {
            answers.add("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + size + "\r\nok\r\n0\r\n\r\n");
        }
        assertLost(answers);
    }

    /** Guards against a stored status that is none, which a client would get. */
    @Test
    void storedResponseWithoutAStatusIsLost() throws Exception {
        for (int status : new int[] {-1, 0, 99, 199, 600, 1_000}) {
            String body = "{\"executed\":true,\"status\":" + status + ",\"body\":\"done\"}";
            String answer = "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
            Event event = event(
                    answer,
                    address -> transport.execute(new RequestCommand.Reconcile(
                            ATTEMPT, target(address), call(address, "").spec(), OptionalLong.empty())));
            assertWithMessage("%s", event).that(isLost(event)).isTrue();
        }
    }

    /** Guards against a part of a response that counts as whole when a reset ends it during a long upload. */
    @Test
    void responseThatIsResetDuringTheUploadIsLost() throws Exception {
        for (int i = 0; i < UPLOADS_OF_EACH_LENGTH * UPLOAD_BYTES.size(); i++) {
            int bodyLength = UPLOAD_BYTES.get(i % UPLOAD_BYTES.size());
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                Thread.ofVirtual().start(() -> answerAndReset(server));
                transport.execute(call("127.0.0.1:" + server.getLocalPort(), "x".repeat(bodyLength)));
                assertWithMessage("upload of %s bytes", bodyLength)
                        .that(events.awaitNext(AttemptFailed.class).kind())
                        .isEqualTo(FailureKind.LOST);
                events.awaitNext(TargetEvent.Reachable.class);
            }
        }
    }

    /** Answers one request as soon as its first bytes have arrived, with a part of a body without a length. */
    private static void answerAndReset(ServerSocket server) {
        try (Socket connection = server.accept()) {
            connection.getInputStream().read(new byte[UPLOAD_PART_BYTES]);
            ScriptedHttpServer.write(connection.getOutputStream(), "HTTP/1.1 200 OK\r\n\r\npart");
            connection.setSoLinger(true, 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Checks what becomes of a call of a service, and of a stream of an engine, that get each of the answers. */
    private void assertLost(List<String> answers) throws Exception {
        List<String> faults = new ArrayList<>();
        for (String answer : answers) {
            for (Event event : List.of(callEvent(answer), streamEvent(answer))) {
                if (!isLost(event)) {
                    faults.add(answer.replace("\u0000", "NUL") + "\n-> " + event);
                }
            }
        }
        assertThat(faults).isEmpty();
    }

    private Event callEvent(String answer) throws Exception {
        return event(answer, address -> transport.execute(call(address, "b")));
    }

    private Event streamEvent(String answer) throws Exception {
        Work work = new Work.Generation("m", "", "prompt", List.of(), 10, 1);
        return event(
                answer,
                address -> transport.execute(new RequestCommand.OpenStream(
                        ATTEMPT, target(address), spec(work, ProfileKind.KEPT_ALIVE), List.of(), 1)));
    }

    /** Returns the event that reports what became of a request which gets this answer. */
    private Event event(String answer, Consumer<String> request) throws Exception {
        try (ScriptedHttpServer server =
                new ScriptedHttpServer((head, out) -> out.write(answer.getBytes(StandardCharsets.ISO_8859_1)))) {
            request.accept(server.address());
            Event event = events.awaitNext(Event.class);
            if (event instanceof AttemptFailed) {
                events.awaitNext(TargetEvent.Reachable.class);
            }
            return event;
        }
    }

    private static boolean isLost(Event event) {
        return event instanceof AttemptFailed failed && failed.kind() == FailureKind.LOST;
    }

    private static RequestCommand.CallService call(String address, String body) {
        Work work = new Work.ServiceCall("POST", "/orders", Map.of(), body.getBytes(StandardCharsets.UTF_8));
        return new RequestCommand.CallService(
                ATTEMPT, target(address), spec(work, ProfileKind.AT_MOST_ONCE), OptionalLong.empty(), TIMEOUT_MILLIS);
    }
}
