package org.amaranthlock.entry.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Function;

/** Serves short texts about the process, such as its readiness and its metrics. */
public final class StatusServer {
    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final Function<String, StatusResponse> pages;
    private Channel listener;

    /**
     * Status and text for one path.
     *
     * @param status HTTP status
     * @param body text
     */
    public record StatusResponse(int status, byte[] body) {}

    /** Creates a server that answers each path by {@code pages}. */
    public StatusServer(EventLoopGroup loops, InetSocketAddress address, Function<String, StatusResponse> pages) {
        this.loops = Objects.requireNonNull(loops, "loops");
        this.address = Objects.requireNonNull(address, "address");
        this.pages = Objects.requireNonNull(pages, "pages");
    }

    /** Binds the address. */
    public void start() {
        listener = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new PageHandler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Closes the address. */
    public void stop() {
        if (listener != null) {
            listener.close();
        }
    }

    private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            StatusResponse answer = pages.apply(request.uri());
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status()),
                    Unpooled.wrappedBuffer(answer.body()));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
            boolean keep = HttpUtil.isKeepAlive(request);
            context.writeAndFlush(response).addListener(done -> {
                if (!keep) {
                    context.close();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
