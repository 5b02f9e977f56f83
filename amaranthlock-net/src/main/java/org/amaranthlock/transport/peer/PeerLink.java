package org.amaranthlock.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.Event.PeerUnreachable;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.transport.EventSink;
import org.jboss.logging.Logger;

/**
 * Outbound connection to one router, with the queue of frames to be written.
 *
 * <p>Frames that are queued while no connection exists are either sent on the next one or dropped together, which is
 * reported by one {@link PeerUnreachable} event; so are the frames of a full queue. Thread-safe.
 */
final class PeerLink {
    /** Four frames of the maximum size; if more bytes are queued, the peer has stopped reading. */
    static final long MAX_QUEUED_BYTES = 4L << 20;

    private static final long INITIAL_BACKOFF_MILLIS = 50;

    /** Shorter than the suspicion timeout of 1,500 ms, so that a returning peer is reached before it is suspected. */
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    /**
     * Time limit for the reply to a probe. A connection interrupted by a network partition stays open, and TCP
     * retransmits at long intervals; closing it lets the next message use a new connection as soon as the partition
     * ends.
     */
    private static final long PROBE_TIMEOUT_MILLIS = 2_000;

    private static final Logger LOG = Logger.getLogger(PeerLink.class);

    private enum State {
        IDLE,
        CONNECTING,
        READY,
        STOPPED
    }

    private final HostId host;
    private final Bootstrap bootstrap;
    private final EventLoop eventLoop;
    private final EventSink sink;
    private final OutboundQueue queue = new OutboundQueue(MAX_QUEUED_BYTES);
    private String address = "";
    private Channel channel;
    private State state = State.IDLE;
    private long backoffMillis;
    private long lastProbeNumber;
    private boolean probePending;
    private boolean framesWrittenAfterProbe;
    private long lastUseNanos = System.nanoTime();

    PeerLink(HostId host, Bootstrap bootstrap, EventLoop eventLoop, EventSink sink) {
        this.host = host;
        this.bootstrap = bootstrap;
        this.eventLoop = eventLoop;
        this.sink = sink;
    }

    HostId host() {
        return host;
    }

    /**
     * Queues a frame, and opens a connection if there is none.
     *
     * @return false if the link is stopped and the frame was not queued
     */
    synchronized boolean send(String newAddress, byte[] frame, PeerMessage message) {
        if (state == State.STOPPED) {
            return false;
        }
        lastUseNanos = System.nanoTime();
        address = newAddress;
        if (!queue.add(frame, message)) {
            LOG.warnf(
                    "Closed the connection to %s and dropped its unsent messages, which reached the limit of %d bytes;"
                            + " check whether the peer still reads",
                    host, MAX_QUEUED_BYTES);
            dropConnection();
            return true;
        }
        if (state == State.IDLE) {
            connectAfterBackoff();
        } else if (state == State.READY) {
            eventLoop.execute(this::writeQueuedFrames);
        }
        return true;
    }

    /** Handles the completed handshake with {@code peer}. */
    synchronized void onAuthenticated(Channel authenticatedChannel, HostId peer) {
        if (authenticatedChannel != channel || state != State.CONNECTING) {
            return;
        }
        if (!host.isUnknown() && !peer.equals(host)) {
            LOG.debugf("Closed the connection to %s: router %s listens there, not %s", address, peer, host);
            authenticatedChannel.close();
            return;
        }
        state = State.READY;
        backoffMillis = 0;
        probePending = false;
        framesWrittenAfterProbe = false;
        writeQueuedFrames();
    }

    /** Handles a closed or failed connection. */
    synchronized void onClosed(Channel closedChannel) {
        if (closedChannel != channel || state == State.STOPPED) {
            return;
        }
        boolean wasReady = state == State.READY;
        channel = null;
        state = State.IDLE;
        if (!wasReady) {
            onConnectFailed();
        } else if (!queue.isEmpty()) {
            connectAfterBackoff();
        }
    }

    /** Writes queued frames while the channel is writable. */
    synchronized void writeQueuedFrames() {
        if (state != State.READY) {
            return;
        }
        boolean written = false;
        while (channel.isWritable() && !queue.isEmpty()) {
            channel.write(Unpooled.wrappedBuffer(queue.poll()));
            written = true;
        }
        if (written) {
            framesWrittenAfterProbe = true;
            sendProbe();
            channel.flush();
        }
    }

    /** Handles the reply to a probe. */
    synchronized void onProbeReply(Channel replyingChannel) {
        if (replyingChannel == channel && state == State.READY) {
            probePending = false;
            sendProbe();
            channel.flush();
        }
    }

    /** Returns whether no frame is queued and none was added for the given time. */
    synchronized boolean isIdleFor(long nanos) {
        return queue.isEmpty() && System.nanoTime() - lastUseNanos > nanos;
    }

    synchronized void stop() {
        state = State.STOPPED;
        queue.clear();
        closeChannel();
    }

    private void connectAfterBackoff() {
        state = State.CONNECTING;
        eventLoop.schedule(this::connect, backoffMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void connect() {
        // The link may have been stopped, or dropped and reconnected, during the backoff.
        if (state != State.CONNECTING || channel != null) {
            return;
        }
        InetSocketAddress socketAddress;
        try {
            socketAddress = PeerAddressFormat.parse(address);
        } catch (IllegalArgumentException e) {
            LOG.warnf("Failed to connect to %s; correct its address: %s", host, e.getMessage());
            state = State.IDLE;
            onConnectFailed();
            return;
        }
        ChannelFuture connectFuture = bootstrap.clone(eventLoop).connect(socketAddress);
        channel = connectFuture.channel();
        connectFuture.addListener(done -> {
            if (!done.isSuccess()) {
                onClosed(connectFuture.channel());
            }
        });
    }

    /** Writes a probe, an empty frame that the peer sends back, if frames were written since the last probe. */
    private void sendProbe() {
        if (probePending || !framesWrittenAfterProbe) {
            return;
        }
        probePending = true;
        framesWrittenAfterProbe = false;
        lastProbeNumber++;
        long probeNumber = lastProbeNumber;
        channel.write(Unpooled.EMPTY_BUFFER);
        eventLoop.schedule(() -> closeIfProbePending(probeNumber), PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void closeIfProbePending(long probeNumber) {
        if (state == State.READY && probePending && probeNumber == lastProbeNumber) {
            LOG.infof("Closed the connection to %s: no reply to a probe within %d ms", host, PROBE_TIMEOUT_MILLIS);
            channel.close();
        }
    }

    private void onConnectFailed() {
        backoffMillis = Math.clamp(backoffMillis * 2, INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
        if (!queue.isEmpty()) {
            queue.clear();
            sink.accept(new PeerUnreachable(host));
        }
    }

    private void dropConnection() {
        state = State.IDLE;
        closeChannel();
        onConnectFailed();
    }

    private void closeChannel() {
        Channel channelToClose = channel;
        channel = null;
        if (channelToClose != null) {
            channelToClose.close();
        }
    }
}
