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

/** Peer transport over TCP with length-prefixed frames; each pair of routers has one connection per direction. */
public final class NettyPeerTransport implements PeerTransport {
    /** Longest frame in bytes, without its length field. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int THREADS = 2;

    /** Longer than a round of random probes over 330 routers (165 s), so that connections in use are kept. */
    private static final long UNUSED_LINK_SECONDS = 300;

    private static final Logger LOG = Logger.getLogger(NettyPeerTransport.class);

    private final PeerIdentity identity;
    private final String bindAddress;
    private final EventSink sink;
    private final HybridClock clock;
    private final PeerMessageCodec codec;
    private final AtomicLong skipped = new AtomicLong();
    private final Map<HostId, PeerLink> links = new HashMap<>();
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private EventLoopGroup loops;
    private Channel server;

    /**
     * Creates a transport.
     *
     * @param self this router
     * @param bindAddress IP number and port; port 0 chooses a free one
     * @param clusterKey secret that all routers share
     * @param sink receives the events
     * @param clock gives the time of sent frames and is moved by received ones
     * @param codec format of the frames
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
        loops = new NioEventLoopGroup(THREADS, new DefaultThreadFactory("peer", true));
        server = bind();
        loops.scheduleWithFixedDelay(
                this::closeUnusedLinks, UNUSED_LINK_SECONDS, UNUSED_LINK_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public synchronized void stop() {
        if (loops == null) {
            return;
        }
        links.values().forEach(PeerLink::stop);
        links.clear();
        server.close();
        accepted.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        loops = null;
    }

    @Override
    public void send(HostId to, String address, PeerMessage message) {
        byte[] frame = codec.encode(new PeerFrame(identity.host(), identity.incarnation(), clock.next(), message));
        if (frame.length > MAX_FRAME_BYTES) {
            LOG.errorf(
                    "Dropped a message to %s: %s has %d bytes, the limit is %d",
                    to, message.getClass().getSimpleName(), frame.length, MAX_FRAME_BYTES);
            return;
        }
        PeerLink link = link(to);
        if (link == null || !link.send(address, frame, message)) {
            sink.accept(new PeerUnreachable(to));
        }
    }

    @Override
    public synchronized String localAddress() {
        return PeerAddresses.format((InetSocketAddress) server.localAddress());
    }

    /** Returns the number of received frames that were skipped, because their type or version is unknown. */
    public long skippedFrames() {
        return skipped.get();
    }

    private Channel bind() {
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Initializer(null))
                .bind(PeerAddresses.parse(bindAddress))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            loops = null;
            throw new AmaranthlockException(
                    ErrorCode.INVALID_SETTINGS,
                    "can't listen for peers on " + bindAddress + "; choose a free port of this host",
                    bound.cause());
        }
        return bound.channel();
    }

    private synchronized PeerLink link(HostId host) {
        return loops == null ? null : links.computeIfAbsent(host, this::newLink);
    }

    private PeerLink newLink(HostId host) {
        Bootstrap bootstrap = new Bootstrap()
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
        PeerLink link = new PeerLink(host, bootstrap, loops.next(), sink);
        bootstrap.handler(new Initializer(link));
        return link;
    }

    private synchronized void closeUnusedLinks() {
        links.values().removeIf(link -> {
            boolean unused = link.unusedFor(TimeUnit.SECONDS.toNanos(UNUSED_LINK_SECONDS));
            if (unused) {
                link.stop();
            }
            return unused;
        });
    }

    /** Builds the pipeline of a connection: dialed if it has a link, otherwise accepted. */
    private final class Initializer extends ChannelInitializer<Channel> {
        private final PeerLink link;

        Initializer(PeerLink link) {
            this.link = link;
        }

        @Override
        protected void initChannel(Channel channel) {
            ChannelHandler last;
            if (link == null) {
                accepted.add(channel);
                last = new PeerReceiver(codec, sink, clock, skipped);
            } else {
                last = new PeerSender(link);
            }
            channel.pipeline()
                    .addLast(new LengthFieldBasedFrameDecoder(
                            MAX_FRAME_BYTES + LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                    .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                    .addLast(new HandshakeHandler(identity, link != null))
                    .addLast(last);
        }
    }
}
