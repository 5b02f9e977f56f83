package org.amaranthlock.entry.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthlock.coordination.forwarding.LoadNews;
import org.amaranthlock.entry.log.DecisionLog;

/**
 * Connections to the other entry hosts, over which each tells what it has in flight.
 *
 * <p>A frame holds the sender's whole state, so a lost one is healed by the next. A link on which bytes do not leave is
 * opened anew. Nothing depends on the news but the choice among engines. All calls are on the control loop.
 */
public final class PeerLinks {
    private static final int MAX_FRAME_BYTES = 1 << 18;
    private static final int LENGTH_BYTES = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Changes within this time go out in one frame, milliseconds. */
    private static final long GATHER_MILLIS = 5;

    /** Time after which the state is sent again though nothing changed, milliseconds. */
    private static final long REPEAT_MILLIS = 1_500;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Supplier<LoadNews> state;
    private final Consumer<LoadNews> listener;
    private final DecisionLog log;
    private final Map<String, Channel> links = new HashMap<>();
    private Set<String> peers = Set.of();
    private boolean gathering;

    /** Creates links; {@link #start} listens on {@code address}. */
    public PeerLinks(
            EventLoop loop,
            InetSocketAddress address,
            Supplier<LoadNews> state,
            Consumer<LoadNews> listener,
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
                                .addLast(new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                                .addLast(new NewsReader());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        loop.scheduleAtFixedRate(this::send, REPEAT_MILLIS, REPEAT_MILLIS, TimeUnit.MILLISECONDS);
        return (InetSocketAddress) listening.localAddress();
    }

    /** Replaces the addresses of the other hosts. */
    public void peers(Set<String> known) {
        peers = Set.copyOf(known);
        links.entrySet().removeIf(link -> {
            boolean gone = !peers.contains(link.getKey());
            if (gone) {
                link.getValue().close();
            }
            return gone;
        });
        peers.forEach(this::connect);
    }

    /** Tells the other hosts soon that the state has changed. */
    public void changed() {
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
        byte[] frame = LoadNewsCodec.encode(state.get());
        for (String peer : peers) {
            Channel link = links.get(peer);
            if (link == null || !link.isOpen()) {
                connect(peer);
            } else if (!link.isWritable()) {
                log.write("peer-link-stuck", "peer", peer);
                link.close();
            } else if (link.isActive()) {
                link.writeAndFlush(Unpooled.wrappedBuffer(frame));
            }
        }
    }

    private void connect(String peer) {
        Channel known = links.get(peer);
        if (known != null && known.isOpen()) {
            return;
        }
        int colon = peer.lastIndexOf(':');
        ChannelFuture opened = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LengthFieldPrepender(LENGTH_BYTES), new LinkErrors());
                    }
                })
                .connect(peer.substring(0, colon), Integer.parseInt(peer.substring(colon + 1)));
        links.put(peer, opened.channel());
    }

    private final class NewsReader extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            try {
                listener.accept(LoadNewsCodec.decode(ByteBufUtil.getBytes(frame)));
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

    /** Closes a link that fails; it is opened anew with the next frame. */
    private static final class LinkErrors extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
            if (!(cause instanceof IOException)) {
                context.fireExceptionCaught(cause);
            }
        }
    }
}
