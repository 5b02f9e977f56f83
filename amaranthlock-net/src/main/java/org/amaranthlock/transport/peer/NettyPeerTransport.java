package org.amaranthlock.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthlock.coordination.Event.PeerUnreachable;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.HybridClock;
import org.amaranthlock.protocol.PeerFrame;
import org.amaranthlock.protocol.PeerMessageCodec;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.transport.EventSink;
import org.amaranthlock.transport.PeerTransport;
import org.jboss.logging.Logger;

/**
 * {@link PeerTransport} over TCP with length-prefixed frames.
 *
 * <p>Each pair of routers has one connection per direction: a router sends messages only on connections that it opened.
 */
public final class NettyPeerTransport implements PeerTransport {
    /** Maximum length of a frame, excluding its length field. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int EVENT_LOOP_THREADS = 2;

    /**
     * Longer than one round of random failure-detector probes over 330 routers (165 s), so that links in use stay open.
     */
    private static final long IDLE_LINK_TIMEOUT_SECONDS = 300;

    private static final Logger LOG = Logger.getLogger(NettyPeerTransport.class);

    private final PeerIdentity identity;
    private final String bindAddress;
    private final EventSink sink;
    private final HybridClock clock;
    private final PeerMessageCodec codec;
    private final AtomicLong skippedFrames = new AtomicLong();
    private final Map<HostId, PeerLink> links = new HashMap<>();
    private final ChannelGroup acceptedChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private EventLoopGroup eventLoops;
    private Channel serverChannel;

    /**
     * Creates a transport.
     *
     * @param self this router
     * @param bindAddress IP address and port to listen on; port 0 selects a free one
     * @param clusterKey secret shared by all routers
     * @param sink receives the events
     * @param clock timestamps sent frames and is advanced by the timestamps of received ones
     * @param codec encodes and decodes the frames
     */
    public NettyPeerTransport(
            HostId self,
            String bindAddress,
            byte[] clusterKey,
            EventSink sink,
            HybridClock clock,
            PeerMessageCodec codec) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.identity = new PeerIdentity(self, clock.next(), new ClusterKey(clusterKey.clone()));
        this.bindAddress = Arguments.requireText(bindAddress, "bindAddress");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.codec = Objects.requireNonNull(codec, "codec");
    }

    @Override
    public synchronized void start() {
        eventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("peer", true));
        serverChannel = bind();
        eventLoops.scheduleWithFixedDelay(
                this::closeIdleLinks, IDLE_LINK_TIMEOUT_SECONDS, IDLE_LINK_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public synchronized void stop() {
        if (eventLoops == null) {
            return;
        }
        links.values().forEach(PeerLink::stop);
        links.clear();
        serverChannel.close();
        acceptedChannels.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        eventLoops = null;
    }

    @Override
    public void send(HostId to, String address, PeerMessage message) {
        byte[] frame = codec.encode(new PeerFrame(identity.host(), identity.incarnation(), clock.next(), message));
        if (frame.length > MAX_FRAME_BYTES) {
            LOG.errorf(
                    "Dropped a message to %s: the frame of %s has %d bytes, the limit is %d",
                    to, message.getClass().getSimpleName(), frame.length, MAX_FRAME_BYTES);
            return;
        }
        PeerLink link = linkTo(to);
        if (link == null || !link.send(address, frame, message)) {
            sink.accept(new PeerUnreachable(to));
        }
    }

    @Override
    public synchronized String localAddress() {
        return PeerAddressFormat.format((InetSocketAddress) serverChannel.localAddress());
    }

    /** Returns the number of received frames that were skipped because their type or version is unknown. */
    public long skippedFrameCount() {
        return skippedFrames.get();
    }

    private Channel bind() {
        ChannelFuture bindFuture = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new PeerChannelInitializer(null))
                .bind(PeerAddressFormat.parse(bindAddress))
                .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            eventLoops = null;
            throw new AmaranthlockException(
                    ErrorCode.INVALID_SETTINGS,
                    "failed to listen for peers on " + bindAddress
                            + "; set peer.address to an address of this host with a free port",
                    bindFuture.cause());
        }
        return bindFuture.channel();
    }

    private synchronized PeerLink linkTo(HostId host) {
        return eventLoops == null ? null : links.computeIfAbsent(host, this::createLink);
    }

    private PeerLink createLink(HostId host) {
        Bootstrap bootstrap = new Bootstrap()
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        PeerLink link = new PeerLink(host, bootstrap, eventLoops.next(), sink);
        bootstrap.handler(new PeerChannelInitializer(link));
        return link;
    }

    private synchronized void closeIdleLinks() {
        links.values().removeIf(link -> {
            boolean idle = link.isIdleFor(TimeUnit.SECONDS.toNanos(IDLE_LINK_TIMEOUT_SECONDS));
            if (idle) {
                link.stop();
            }
            return idle;
        });
    }

    /** Builds the pipeline of a channel, which is outbound if it has a link and was accepted otherwise. */
    private final class PeerChannelInitializer extends ChannelInitializer<Channel> {
        private final PeerLink link;

        PeerChannelInitializer(PeerLink link) {
            this.link = link;
        }

        @Override
        protected void initChannel(Channel channel) {
            ChannelHandler lastHandler;
            if (link == null) {
                acceptedChannels.add(channel);
                lastHandler = new PeerReceiver(codec, sink, clock, skippedFrames);
            } else {
                lastHandler = new PeerSender(link);
            }
            channel.pipeline()
                    .addLast(new LengthFieldBasedFrameDecoder(
                            MAX_FRAME_BYTES + LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                    .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                    .addLast(new HandshakeHandler(identity, link != null))
                    .addLast(lastHandler);
        }
    }
}
