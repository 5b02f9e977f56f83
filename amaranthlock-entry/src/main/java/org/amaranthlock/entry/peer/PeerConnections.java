package org.amaranthlock.entry.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.platform.PeerEntry;

/**
 * Connections to the other entry hosts, over which each tells what it has in flight and asks what others know of the
 * store.
 *
 * <p>Each host opens a link to each other one; questions are answered on the link on which they came. News hold the
 * sender's whole state, so a lost frame is healed by the next. A link on which bytes do not leave is opened anew. All
 * calls are on the control loop.
 */
public final class PeerConnections {
    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final int LENGTH_BYTES = 3;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Changes within this time go out in one frame, milliseconds. */
    private static final long GATHER_MILLIS = 5;

    /** Time after which the state is sent again though nothing changed, milliseconds. */
    private static final long REPEAT_MILLIS = 1_500;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Supplier<HostLoadReport> state;
    private final PeerListener listener;
    private final DecisionLog log;
    private final Map<String, Channel> links = new HashMap<>();
    private Set<PeerEntry> peers = Set.of();
    private boolean gathering;

    /** Creates links; {@link #start} listens on {@code address}. */
    public PeerConnections(
            EventLoop loop,
            InetSocketAddress address,
            Supplier<HostLoadReport> state,
            PeerListener listener,
            DecisionLog log) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.address = Objects.requireNonNull(address, "address");
        this.state = Objects.requireNonNull(state, "state");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Listens for other hosts, starts to repeat the state and returns the address that it listens on. */
    public InetSocketAddress start() {
        Channel listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(frames(), new LengthFieldPrepender(LENGTH_BYTES), new MessageReader());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        loop.scheduleAtFixedRate(this::send, REPEAT_MILLIS, REPEAT_MILLIS, TimeUnit.MILLISECONDS);
        return (InetSocketAddress) listening.localAddress();
    }

    /** Replaces the other hosts. */
    public void peers(Set<PeerEntry> known) {
        peers = Set.copyOf(known);
        Set<String> names = peers.stream().map(PeerEntry::name).collect(Collectors.toSet());
        links.entrySet().removeIf(link -> {
            boolean gone = !names.contains(link.getKey());
            if (gone) {
                link.getValue().close();
            }
            return gone;
        });
        peers.forEach(this::connect);
    }

    /** Returns the names of the hosts in a failure domain to which there is a link. */
    public Set<String> connected(FailureDomain domain) {
        return peers.stream()
                .filter(peer -> peer.failureDomain().equals(domain))
                .map(PeerEntry::name)
                .filter(name -> links.containsKey(name) && links.get(name).isActive())
                .collect(Collectors.toSet());
    }

    /** Sends a question to a host; returns whether there is a link to it. */
    public boolean sendQuery(String peer, EntryPeerMessage question) {
        Channel link = links.get(peer);
        if (link == null || !link.isActive()) {
            return false;
        }
        write(link, question);
        return true;
    }

    /** Closes the link to a host that does not answer; it is opened anew with the next news. */
    public void reset(String peer) {
        Channel link = links.get(peer);
        if (link != null) {
            link.close();
        }
    }

    /** Tells the other hosts soon that the state has changed. */
    public void onLoadChanged() {
        if (!gathering) {
            gathering = true;
            loop.schedule(this::send, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void send() {
        gathering = false;
        if (peers.isEmpty()) {
            return;
        }
        byte[] frame = EntryPeerMessageCodec.encode(new EntryPeerMessage.News(state.get()));
        for (PeerEntry peer : peers) {
            Channel link = links.get(peer.name());
            if (link == null || !link.isOpen()) {
                connect(peer);
            } else if (!link.isWritable()) {
                log.write("peer-link-stuck", "peer", peer.name());
                link.close();
            } else if (link.isActive()) {
                link.writeAndFlush(Unpooled.wrappedBuffer(frame));
            }
        }
    }

    private void connect(PeerEntry peer) {
        Channel known = links.get(peer.name());
        if (known != null && known.isOpen()) {
            return;
        }
        int colon = peer.address().lastIndexOf(':');
        ChannelFuture opened = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        frames(),
                                        new LengthFieldPrepender(LENGTH_BYTES),
                                        new AnswerReader(peer.name()));
                    }
                })
                .connect(
                        peer.address().substring(0, colon),
                        Integer.parseInt(peer.address().substring(colon + 1)));
        links.put(peer.name(), opened.channel());
    }

    private static LengthFieldBasedFrameDecoder frames() {
        return new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    private static void write(Channel link, EntryPeerMessage message) {
        link.writeAndFlush(Unpooled.wrappedBuffer(EntryPeerMessageCodec.encode(message)));
    }

    /** Reads frames; one that cannot be read closes its link. */
    private abstract class FrameReader extends SimpleChannelInboundHandler<ByteBuf> {
        abstract void read(Channel link, EntryPeerMessage message);

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            try {
                read(context.channel(), EntryPeerMessageCodec.decode(ByteBufUtil.getBytes(frame)));
            } catch (IllegalArgumentException e) {
                log.write("peer-frame-unreadable", "cause", e.getMessage());
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
            if (!(cause instanceof IOException)) {
                context.fireExceptionCaught(cause);
            }
        }
    }

    private final class MessageReader extends FrameReader {
        @Override
        void read(Channel link, EntryPeerMessage message) {
            listener.onMessage(message, reply -> write(link, reply));
        }
    }

    private final class AnswerReader extends FrameReader {
        private final String peer;

        private AnswerReader(String peer) {
            this.peer = peer;
        }

        @Override
        void read(Channel link, EntryPeerMessage message) {
            if (!(message instanceof EntryPeerMessage.Answer answer)) {
                throw new IllegalArgumentException("no answer on the link to " + peer);
            }
            listener.onAnswer(answer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.onLinkClosed(peer);
        }
    }
}
