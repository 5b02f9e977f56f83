package org.amaranthlock.transport.objectapi;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Base64;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.ObjectApiValueCodec;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.EngineLease;
import org.amaranthlock.transport.RecordingEventSink;
import org.amaranthlock.transport.ScriptedHttpServer;
import org.junit.jupiter.api.Test;

class HttpObjectApiTransportTest {
    private static final EngineLease LEASE = new EngineLease("g", new HostId("r1"), 3, 4, 1.5);

    private final ObjectApiValueCodec codec = new ObjectApiValueCodec();
    private final RecordingEventSink events = new RecordingEventSink();
    private String requestHead = "";

    /**
     * Guards against a write whose lost response is reported as a failure, which would cause the write to be retried.
     */
    @Test
    void writeWithoutResponseHasUnknownOutcome() throws Exception {
        assertThat(eventForResponse(new ObjectApiCommand.Write(1, "engines/g", 0, LEASE), (head, out) -> {}))
                .isEqualTo(new ObjectApiEvent.WriteUnknown(1));
    }

    /** Guards against a write that counts as applied, or as rejected, because of what is no response. */
    @Test
    void writeWithAMalformedResponseHasUnknownOutcome() throws Exception {
        String headers = "etag: \"6\"\r\nplatform-revision: 41\r\ncontent-length: 0\r\n\r\n";
        for (String beginning : new String[] {
            "000 x",
            "2000 x",
            "600 x",
            "200 OK\r\nx-a b: v",
            "200 OK\r\nx-a: v\u0000w",
            "200 OK\r\ntransfer-encoding: gzip"
        }) {
            String response = "HTTP/1.1 " + beginning + "\r\n" + headers;
            assertWithMessage(response.replace("\u0000", "NUL"))
                    .that(eventForResponse(
                            new ObjectApiCommand.Write(1, "engines/g", 0, LEASE),
                            (head, out) -> ScriptedHttpServer.write(out, response)))
                    .isEqualTo(new ObjectApiEvent.WriteUnknown(1));
        }
    }

    /** Guards against a write that waits indefinitely for an unresponsive platform. */
    @Test
    void writeWithLateResponseHasUnknownOutcome() throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        assertThat(eventForResponse(
                        new ObjectApiCommand.Write(1, "engines/g", 0, LEASE),
                        (head, out) ->
                                assertThat(end.await(10, TimeUnit.SECONDS)).isTrue()))
                .isEqualTo(new ObjectApiEvent.WriteUnknown(1));
        end.countDown();
    }

    /** Guards against a needless read-back of writes that could not be sent because the platform is unreachable. */
    @Test
    void refusedConnectionFailsTheWrite() throws Exception {
        Event event = execute(ScriptedHttpServer.unusedAddress(), new ObjectApiCommand.Write(1, "engines/g", 0, LEASE));
        assertThat(event).isInstanceOf(ObjectApiEvent.OperationFailed.class);
    }

    /** Guards against unconditional writes and misread versions. */
    @Test
    void writeIsConditional() throws Exception {
        String applied = "HTTP/1.1 200 OK\r\netag: \"6\"\r\nplatform-revision: 41\r\ncontent-length: 0\r\n\r\n";
        assertThat(eventForResponse(
                        new ObjectApiCommand.Write(1, "a/b c", 5, LEASE),
                        (head, out) -> ScriptedHttpServer.write(out, applied)))
                .isEqualTo(new ObjectApiEvent.WriteApplied(1, 6, 41));
        assertThat(requestHead).startsWith("PUT /objects/a/b%20c HTTP/1.1");
        assertThat(requestHead).contains("if-match: \"5\"");
        assertThat(eventForResponse(new ObjectApiCommand.Write(2, "a", 0, LEASE), (head, out) -> writeStatus(out, 412)))
                .isEqualTo(new ObjectApiEvent.WriteConflicted(2));
        assertThat(requestHead).contains("if-none-match: *");
    }

    /** Guards against a write that is reported as failed although it may have been applied, and the reverse. */
    @Test
    void statusDeterminesWhetherAWriteMayHaveBeenApplied() throws Exception {
        ObjectApiCommand write = new ObjectApiCommand.Write(1, "a", 0, LEASE);
        assertThat(eventForResponse(write, (head, out) -> writeStatus(out, 429)))
                .isInstanceOf(ObjectApiEvent.OperationFailed.class);
        assertThat(eventForResponse(write, (head, out) -> writeStatus(out, 503)))
                .isInstanceOf(ObjectApiEvent.OperationFailed.class);
        assertThat(eventForResponse(write, (head, out) -> writeStatus(out, 500)))
                .isInstanceOf(ObjectApiEvent.WriteUnknown.class);
    }

    /** Guards against one malformed object that hides all others from a watch. */
    @Test
    void watchSkipsUnreadableObjects() throws Exception {
        String value = Base64.getEncoder().encodeToString(codec.encode(LEASE));
        String body = "{\"revision\":9,\"changed\":[{\"key\":\"bad\",\"version\":1,\"revision\":8,\"value\":\"AAAA\"},"
                + "{\"key\":\"engines/g\",\"version\":2,\"revision\":9,\"value\":\"" + value + "\"}],"
                + "\"deleted\":[{\"key\":\"old\",\"revision\":7}]}";
        ObjectApiEvent.WatchReturned event = (ObjectApiEvent.WatchReturned) eventForResponse(
                new ObjectApiCommand.Watch(1, "engines/", 6, 100), (head, out) -> writeJson(out, body));
        assertThat(requestHead).startsWith("GET /watch?prefix=engines/&after=6&timeoutMs=100 ");
        assertThat(event.changed()).hasSize(1);
        assertThat(event.changed().getFirst().value()).isEqualTo(LEASE);
        assertThat(event.deletedKeys()).containsExactly("old");
        assertThat(event.revision()).isEqualTo(9);
    }

    /** Guards against an absent object that is reported as a failure. */
    @Test
    void absentObjectIsReadAsEmpty() throws Exception {
        ObjectApiEvent.ReadDone event = (ObjectApiEvent.ReadDone)
                eventForResponse(new ObjectApiCommand.Read(1, "a"), (head, out) -> writeStatus(out, 404));
        assertThat(event.object()).isEmpty();
    }

    /** Guards against draining targets that stay in use because a malformed row hides their row in the host list. */
    @Test
    void hostListShowsDrainingTargets() throws Exception {
        String body = "[{\"name\":\"t1\",\"role\":\"target\",\"address\":\"127.0.0.1:1\",\"region\":\"eu\","
                + "\"failureDomain\":\"a\",\"leaving\":true},{\"name\":\"\"}]";
        ObjectApiEvent.HostsListed event = (ObjectApiEvent.HostsListed)
                eventForResponse(new ObjectApiCommand.ListHosts(1), (head, out) -> writeJson(out, body));
        assertThat(event.hosts()).hasSize(1);
        assertThat(event.hosts().getFirst().leaving()).isTrue();
    }

    private Event eventForResponse(ObjectApiCommand command, ScriptedHttpServer.RequestHandler handler)
            throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer(handler)) {
            Event event = execute(server.address(), command);
            requestHead = server.requestHeads().poll(10, TimeUnit.SECONDS);
            return event;
        }
    }

    private Event execute(String address, ObjectApiCommand command) throws Exception {
        HttpObjectApiTransport transport = new HttpObjectApiTransport(address, events, codec);
        transport.start();
        try {
            transport.execute(command);
            return events.awaitNext(ObjectApiEvent.class);
        } finally {
            transport.stop();
        }
    }

    private static void writeJson(OutputStream out, String body) throws IOException {
        ScriptedHttpServer.write(out, "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
    }

    private static void writeStatus(OutputStream out, int status) throws IOException {
        ScriptedHttpServer.write(out, "HTTP/1.1 " + status + " status\r\ncontent-length: 0\r\n\r\n");
    }
}
