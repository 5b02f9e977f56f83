package org.amaranthlock.entry.cli;

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
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.amaranthlock.platform.WireHeaders;

/** Loopback store and target of a {@link Rehearsal}. */
final class RehearsalStore {
    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    private Channel listener;

    InetSocketAddress start(EventLoopGroup loops) {
        listener = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new Pages());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    private String body(String uri) {
        String address = "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
        if (uri.contains("watch=")) {
            return "{\"events\":[],\"current_rev\":3}";
        }
        if (uri.contains("config/main")) {
            return """
                    {"metadata":{"name":"main","revision":2},"spec":{"version":1,"routes":[
                    {"name":"r1","host":"h","path_prefix":"/s/","kind":"streaming","timeout_ms":5000,"goal_ms":4500,
                    "priority":1,"service":"e","max_attempts":2,"public":false,"resumable":true},
                    {"name":"r2","host":"h","path_prefix":"/p/","kind":"idempotent","timeout_ms":5000,"goal_ms":200,
                    "priority":1,"split":[{"service":"e","weight":1}],"max_attempts":2}],
                    "services":[{"name":"e","max_conns":9,"engine":{"backups":true}}],
                    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                    "idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k"],"priority":1}]}}""";
        }
        if (uri.contains("servers")) {
            return """
                    {"items":[{"metadata":{"name":"i-1","revision":1},"spec":{"service":"e","address":"%s","zone":"z",
                    "version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":4,"born":1}}],
                    "has_more":false,"current_rev":3}""".formatted(address);
        }
        return "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    }

    private final class Pages extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            byte[] body = body(request.uri()).getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers().set("Content-Length", body.length);
            response.headers().set(WireHeaders.REQUEST_ID, request.headers().get(WireHeaders.REQUEST_ID, "-"));
            response.headers().set(WireHeaders.STAMP, "rehearsal");
            boolean stream = request.uri().startsWith("/s/");
            response.headers().set("Content-Type", stream ? "text/event-stream" : "application/json");
            context.writeAndFlush(response);
        }
    }
}
