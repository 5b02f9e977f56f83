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
import java.util.function.Consumer;

/** HTTP server for plain-text status of the process, such as its readiness or its metrics. */
public final class StatusServer {
    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final StatusResponder responder;
    private Channel serverChannel;

    /**
     * Response of a status server.
     *
     * @param status HTTP status
     * @param body response text
     * @param contentType media type of the body
     */
    public record StatusResponse(int status, byte[] body, String contentType) {
        /** Creates a response in plain text. */
        public StatusResponse(int status, byte[] body) {
            this(status, body, "text/plain; charset=utf-8");
        }
    }

    /**
     * Request to a status server.
     *
     * @param method HTTP method
     * @param uri request target, including the query
     */
    public record StatusRequest(String method, String uri) {
        /** Returns the request target without the query. */
        public String path() {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }
    }

    /** Answers requests, at once or later, on any thread. */
    public interface StatusResponder {
        /** Answers a request by one call of {@code reply}. */
        void respond(StatusRequest request, Consumer<StatusResponse> reply);
    }

    /** Creates a server that passes each request to {@code responder}, on a thread of {@code loops}. */
    public StatusServer(EventLoopGroup loops, InetSocketAddress address, StatusResponder responder) {
        this.loops = Objects.requireNonNull(loops, "loops");
        this.address = Objects.requireNonNull(address, "address");
        this.responder = Objects.requireNonNull(responder, "responder");
    }

    /** Binds the address and accepts connections. */
    public void start() {
        serverChannel = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new StatusHandler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Stops listening. */
    public void stop() {
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    private final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keep = HttpUtil.isKeepAlive(request);
            responder.respond(
                    new StatusRequest(request.method().name(), request.uri()), status -> write(context, status, keep));
        }

        private void write(ChannelHandlerContext context, StatusResponse status, boolean keep) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status.status()),
                    Unpooled.wrappedBuffer(status.body()));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, status.contentType());
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, status.body().length);
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
