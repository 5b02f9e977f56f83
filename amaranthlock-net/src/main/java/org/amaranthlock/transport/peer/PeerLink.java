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
 * Outbound connection to one router, with the frames that wait for it.
 *
 * <p>Frames that are queued while no connection exists are either sent on the next one or dropped with one
 * {@link PeerUnreachable}. Thread-safe.
 */
final class PeerLink {
    /** Four frames of the maximum size; a peer that lets more wait is not reading. */
    static final long MAX_QUEUED_BYTES = 4L << 20;

    private static final long FIRST_BACKOFF_MILLIS = 50;

    /** Short against the suspicion timeout of 1,500 ms, so that a returning peer is reached before it is suspected. */
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    /**
     * Time for the echo of a probe. A connection that a partition cut stays open at TCP's long retransmission intervals;
     * closing it lets the next message use a new connection as soon as the partition ends.
     */
    private static final long ECHO_TIMEOUT_MILLIS = 2_000;

    private static final Logger LOG = Logger.getLogger(PeerLink.class);

    private enum State {
        IDLE,
        CONNECTING,
        READY,
        STOPPED
    }

    private final HostId host;
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final EventSink sink;
    private final OutboundQueue queue = new OutboundQueue(MAX_QUEUED_BYTES);
    private String address = "";
    private Channel channel;
    private State state = State.IDLE;
    private long backoffMillis;
    private long probe;
    private boolean probePending;
    private boolean writtenAfterProbe;
    private long lastUseNanos = System.nanoTime();

    PeerLink(HostId host, Bootstrap bootstrap, EventLoop loop, EventSink sink) {
        this.host = host;
        this.bootstrap = bootstrap;
        this.loop = loop;
        this.sink = sink;
    }

    HostId host() {
        return host;
    }

    /**
     * Queues a frame and connects if necessary.
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
            LOG.warnf("Closed the connection to %s, because it does not take its messages", host);
            giveUp();
            return true;
        }
        if (state == State.IDLE) {
            connectAfterBackoff();
        } else if (state == State.READY) {
            loop.execute(this::drain);
        }
        return true;
    }

    /** Notes that the other side was authenticated as {@code peer}. */
    synchronized void authenticated(Channel connected, HostId peer) {
        if (connected != channel || state != State.CONNECTING) {
            return;
        }
        if (!host.isUnknown() && !peer.equals(host)) {
            LOG.debugf("%s is the address of %s now, not of %s", address, peer, host);
            connected.close();
            return;
        }
        state = State.READY;
        backoffMillis = 0;
        probePending = false;
        writtenAfterProbe = false;
        drain();
    }

    /** Notes that a connection was closed. */
    synchronized void closed(Channel lost) {
        if (lost != channel || state == State.STOPPED) {
            return;
        }
        boolean wasReady = state == State.READY;
        channel = null;
        state = State.IDLE;
        if (!wasReady) {
            connectFailed();
        } else if (!queue.isEmpty()) {
            connectAfterBackoff();
        }
    }

    /** Writes queued frames while the connection takes them. */
    synchronized void drain() {
        if (state != State.READY) {
            return;
        }
        boolean written = false;
        while (channel.isWritable() && !queue.isEmpty()) {
            channel.write(Unpooled.wrappedBuffer(queue.poll()));
            written = true;
        }
        if (written) {
            writtenAfterProbe = true;
            sendProbe();
            channel.flush();
        }
    }

    /** Notes that the other side returned a probe. */
    synchronized void echoed(Channel from) {
        if (from == channel && state == State.READY) {
            probePending = false;
            sendProbe();
            channel.flush();
        }
    }

    /** Tells whether nothing was sent for a time. */
    synchronized boolean unusedFor(long nanos) {
        return queue.isEmpty() && System.nanoTime() - lastUseNanos > nanos;
    }

    synchronized void stop() {
        state = State.STOPPED;
        queue.clear();
        closeChannel();
    }

    private void connectAfterBackoff() {
        state = State.CONNECTING;
        loop.schedule(this::connect, backoffMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void connect() {
        if (state != State.CONNECTING || channel != null) {
            return;
        }
        InetSocketAddress parsed;
        try {
            parsed = PeerAddresses.parse(address);
        } catch (IllegalArgumentException e) {
            LOG.warnf("Can't connect to %s; correct its address: %s", host, e.getMessage());
            state = State.IDLE;
            connectFailed();
            return;
        }
        ChannelFuture connecting = bootstrap.clone(loop).connect(parsed);
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                closed(connecting.channel());
            }
        });
    }

    /** Writes an empty frame, which the other side returns, if frames were written since the last one. */
    private void sendProbe() {
        if (probePending || !writtenAfterProbe) {
            return;
        }
        probePending = true;
        writtenAfterProbe = false;
        probe++;
        long number = probe;
        channel.write(Unpooled.EMPTY_BUFFER);
        loop.schedule(() -> requireEcho(number), ECHO_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void requireEcho(long number) {
        if (state == State.READY && probePending && number == probe) {
            LOG.infof("Closed the connection to %s, because it returned no echo in time", host);
            channel.close();
        }
    }

    private void connectFailed() {
        backoffMillis = Math.clamp(backoffMillis * 2, FIRST_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
        if (!queue.isEmpty()) {
            queue.clear();
            sink.accept(new PeerUnreachable(host));
        }
    }

    private void giveUp() {
        state = State.IDLE;
        closeChannel();
        connectFailed();
    }

    private void closeChannel() {
        Channel open = channel;
        channel = null;
        if (open != null) {
            open.close();
        }
    }
}
