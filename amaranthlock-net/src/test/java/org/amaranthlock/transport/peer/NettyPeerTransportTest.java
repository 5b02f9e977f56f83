package org.amaranthlock.transport.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.protocol.HandshakeCodec;
import org.amaranthlock.protocol.HandshakeMessage;
import org.amaranthlock.protocol.HandshakeMessage.Hello;
import org.amaranthlock.protocol.HandshakeMessage.Proof;
import org.amaranthlock.protocol.HybridClock;
import org.amaranthlock.protocol.PeerFrame;
import org.amaranthlock.protocol.PeerMessageCodec;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.transport.RecordingEventSink;
import org.amaranthlock.transport.ScriptedHttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class NettyPeerTransportTest {
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");
    private static final byte[] KEY = "secret".getBytes(StandardCharsets.UTF_8);
    private static final int DEADLINE_MILLIS = 10_000;

    private final List<NettyPeerTransport> startedTransports = new ArrayList<>();
    private final RecordingEventSink eventsOfA = new RecordingEventSink();
    private final RecordingEventSink eventsOfB = new RecordingEventSink();
    private final HybridClock clock = new HybridClock(() -> 1_000);

    @AfterEach
    void stop() {
        startedTransports.forEach(NettyPeerTransport::stop);
    }

    /** Guards against reordered messages and against timestamps that order an effect before its cause. */
    @Test
    void messagesArriveInOrderAndAdvanceTheClock() throws Exception {
        NettyPeerTransport a = start(A, KEY, eventsOfA, new HybridClock(() -> 2_000));
        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        for (long revision = 0; revision < 500; revision++) {
            a.send(B, b.localAddress(), new PeerMessage.ConfigPull(revision));
        }
        for (long revision = 0; revision < 500; revision++) {
            assertThat(eventsOfB.awaitNext(Event.PeerReceived.class))
                    .isEqualTo(new Event.PeerReceived(A, new PeerMessage.ConfigPull(revision)));
        }
        assertThat(clock.next()).isGreaterThan(2_000L << HybridClock.COUNTER_BITS);
    }

    /** Guards against a process without the key that joins the cluster. */
    @Test
    void wrongClusterKeyIsRejected() throws Exception {
        NettyPeerTransport a = start(A, "wrong".getBytes(StandardCharsets.UTF_8), eventsOfA, clock);
        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        a.send(B, b.localAddress(), new PeerMessage.ConfigPull(1));

        assertThat(eventsOfA.awaitNext(Event.PeerUnreachable.class).host()).isEqualTo(B);
        assertThat(eventsOfB.isEmpty()).isTrue();
    }

    /** Guards against messages for a dead process that are delivered to a new process at the same address. */
    @Test
    void newProcessAtTheSameAddressReceivesNoMessageForTheOldOne() throws Exception {
        NettyPeerTransport a = start(A, KEY, eventsOfA, clock);
        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        a.send(new HostId("b-old"), b.localAddress(), new PeerMessage.ConfigPull(1));

        assertThat(eventsOfA.awaitNext(Event.PeerUnreachable.class).host()).isEqualTo(new HostId("b-old"));
        assertThat(eventsOfB.isEmpty()).isTrue();
    }

    /** Guards against routers that never find each other: at its start, a router knows its seeds by address only. */
    @Test
    void firstContactReachesAnyRouterAtTheSeedAddress() throws Exception {
        NettyPeerTransport a = start(A, KEY, eventsOfA, clock);
        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        a.send(HostId.unknownAt(b.localAddress()), b.localAddress(), new PeerMessage.ConfigPull(7));

        assertThat(eventsOfB.awaitNext(Event.PeerReceived.class))
                .isEqualTo(new Event.PeerReceived(A, new PeerMessage.ConfigPull(7)));
    }

    /** Guards against messages that wait indefinitely for a dead router, and against a router that never reconnects. */
    @Test
    void refusedConnectionIsReportedAndLaterRetried() throws Exception {
        NettyPeerTransport a = start(A, KEY, eventsOfA, clock);
        a.send(B, ScriptedHttpServer.unusedAddress(), new PeerMessage.ConfigPull(1));
        assertThat(eventsOfA.awaitNext(Event.PeerUnreachable.class).host()).isEqualTo(B);
        a.send(B, "mistyped", new PeerMessage.ConfigPull(1));
        assertThat(eventsOfA.awaitNext(Event.PeerUnreachable.class).host()).isEqualTo(B);

        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        a.send(B, b.localAddress(), new PeerMessage.ConfigPull(2));
        assertThat(eventsOfB.awaitNext(Event.PeerReceived.class).message()).isEqualTo(new PeerMessage.ConfigPull(2));
    }

    /** Guards against memory exhaustion by a frame that declares a length above the limit. */
    @Test
    void tooLongFrameClosesTheConnection() throws Exception {
        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        try (Socket socket = connect(b)) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(NettyPeerTransport.MAX_FRAME_BYTES + 1);
            out.write(new byte[100]);
            out.flush();
            assertThat(awaitClose(socket)).isTrue();
        }
    }

    /** Guards against a limit that includes the length field on one side only, which would close the connection. */
    @Test
    void frameOfTheMaximumLengthArrives() throws Exception {
        NettyPeerTransport a = start(A, KEY, eventsOfA, clock);
        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        RequestId request = new RequestId("01-a");
        PeerMessage shorter = new PeerMessage.ClaimRequest(1, request, "k".repeat(100_000), 1);
        int overhead =
                new PeerMessageCodec().encode(new PeerFrame(A, clock.next(), clock.next(), shorter)).length - 100_000;
        PeerMessage longest =
                new PeerMessage.ClaimRequest(1, request, "k".repeat(NettyPeerTransport.MAX_FRAME_BYTES - overhead), 1);
        a.send(B, b.localAddress(), longest);

        assertThat(eventsOfB.awaitNext(Event.PeerReceived.class).message()).isEqualTo(longest);
    }

    /** Guards against messages that are accepted before the sender has proved that it holds the key. */
    @Test
    void messageBeforeTheProofIsRejected() throws Exception {
        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        try (Socket socket = connect(b)) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            writeFrame(out, new HandshakeCodec().encode(new Hello(A, 1, new byte[ClusterKey.challengeLength()])));
            writeFrame(out, new PeerMessageCodec().encode(new PeerFrame(A, 1, 1, new PeerMessage.ConfigPull(1))));
            assertThat(awaitClose(socket)).isTrue();
            assertThat(eventsOfB.isEmpty()).isTrue();
        }
    }

    /** Guards against a rolling upgrade in which a new message type closes the connection. */
    @Test
    void unknownMessageIsSkippedAndCounted() throws Exception {
        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        try (Socket socket = connect(b);
                MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            performHandshake(socket, out, A, true);
            packer.packArrayHeader(6)
                    .packInt(999)
                    .packInt(1)
                    .packString("a")
                    .packLong(1)
                    .packLong(2)
                    .packNil();
            writeFrame(out, packer.toByteArray());
            writeFrame(out, new PeerMessageCodec().encode(new PeerFrame(A, 1, 1, new PeerMessage.ConfigPull(3))));

            assertThat(eventsOfB.awaitNext(Event.PeerReceived.class).message())
                    .isEqualTo(new PeerMessage.ConfigPull(3));
            assertThat(b.skippedFrameCount()).isEqualTo(1);
        }
    }

    /**
     * Guards against a connection that was interrupted by a partition and stays in use after the partition has ended.
     */
    @Test
    void connectionWithUnansweredProbeIsClosed() throws Exception {
        NettyPeerTransport a = start(A, KEY, eventsOfA, clock);
        try (ServerSocket silentServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            a.send(B, "127.0.0.1:" + silentServer.getLocalPort(), new PeerMessage.ConfigPull(1));
            silentServer.setSoTimeout(DEADLINE_MILLIS);
            try (Socket socket = silentServer.accept()) {
                socket.setSoTimeout(DEADLINE_MILLIS);
                performHandshake(socket, new DataOutputStream(socket.getOutputStream()), B, false);
                assertThat(awaitClose(socket)).isTrue();
            }
        }
    }

    /** Guards against heartbeats that displace claims and outcomes, and against unbounded growth of the queue. */
    @Test
    void fullQueueDropsOldestHeartbeatsFirst() {
        OutboundQueue queue = new OutboundQueue(30);
        PeerMessage heartbeat =
                new PeerMessage.Ping(1, new PeerMessage.GossipPayload(List.of(), List.of(), List.of(), 0));
        PeerMessage message = new PeerMessage.ConfigPull(1);
        assertThat(queue.add(new byte[] {1, 0, 0, 0, 0, 0, 0, 0, 0, 0}, message))
                .isTrue();
        assertThat(queue.add(new byte[] {2, 0, 0, 0, 0, 0, 0, 0, 0, 0}, heartbeat))
                .isTrue();
        assertThat(queue.add(new byte[] {3, 0, 0, 0, 0, 0, 0, 0, 0, 0}, message))
                .isTrue();
        assertThat(queue.add(new byte[] {4, 0, 0, 0, 0, 0, 0, 0, 0, 0}, message))
                .isTrue();
        assertThat(queue.add(new byte[] {5, 0, 0, 0, 0, 0, 0, 0, 0, 0}, message))
                .isFalse();

        assertThat(queue.poll()[0]).isEqualTo(1);
        assertThat(queue.poll()[0]).isEqualTo(3);
        assertThat(queue.poll()[0]).isEqualTo(4);
        assertThat(queue.isEmpty()).isTrue();
    }

    /** Guards against a start that appears to succeed although the port is in use. */
    @Test
    void takenPortFailsTheStart() {
        NettyPeerTransport b = start(B, KEY, eventsOfB, clock);
        NettyPeerTransport second =
                new NettyPeerTransport(A, b.localAddress(), KEY, eventsOfA, clock, new PeerMessageCodec());
        assertThrows(AmaranthlockException.class, second::start);
    }

    private NettyPeerTransport start(HostId host, byte[] key, RecordingEventSink events, HybridClock clock) {
        NettyPeerTransport transport =
                new NettyPeerTransport(host, "127.0.0.1:0", key, events, clock, new PeerMessageCodec());
        transport.start();
        startedTransports.add(transport);
        return transport;
    }

    private static Socket connect(NettyPeerTransport transport) throws IOException {
        InetSocketAddress address = PeerAddressFormat.parse(transport.localAddress());
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(DEADLINE_MILLIS);
        return socket;
    }

    private static void performHandshake(Socket socket, DataOutputStream out, HostId self, boolean isInitiator)
            throws IOException {
        HandshakeCodec codec = new HandshakeCodec();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        Hello localHello = new Hello(self, 1, new byte[ClusterKey.challengeLength()]);
        writeFrame(out, codec.encode(localHello));
        Hello peerHello = (Hello) readFrame(codec, in);
        writeFrame(out, codec.encode(new Proof(new ClusterKey(KEY).computeProof(localHello, peerHello, isInitiator))));
        assertThat(readFrame(codec, in)).isInstanceOf(Proof.class);
    }

    private static HandshakeMessage readFrame(HandshakeCodec codec, DataInputStream in) throws IOException {
        return codec.decode(in.readNBytes(in.readInt()));
    }

    private static void writeFrame(DataOutputStream out, byte[] frame) throws IOException {
        out.writeInt(frame.length);
        out.write(frame);
        out.flush();
    }

    /** Reads until the peer closes the connection; returns false if it does not within the deadline. */
    private static boolean awaitClose(Socket socket) throws IOException {
        try {
            socket.getInputStream().readAllBytes();
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        }
    }
}
