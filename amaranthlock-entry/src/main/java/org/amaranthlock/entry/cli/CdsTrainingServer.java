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
import org.amaranthlock.platform.SampleMessages;
import org.amaranthlock.platform.WireHeaders;

/** Server on loopback that acts as the store and the target of a {@link CdsTrainingRun}. */
final class CdsTrainingServer {
    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    private Channel serverChannel;

    InetSocketAddress start(EventLoopGroup loops) {
        serverChannel = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new RequestHandler());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) serverChannel.localAddress();
    }

    private String responseBody(String uri) {
        return SampleMessages.response(
                uri, "127.0.0.1:" + ((InetSocketAddress) serverChannel.localAddress()).getPort());
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            byte[] body = responseBody(request.uri()).getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers().set("Content-Length", body.length);
            response.headers().set(WireHeaders.REQUEST_ID, request.headers().get(WireHeaders.REQUEST_ID, "-"));
            response.headers().set(WireHeaders.SERVER_STAMP, "rehearsal");
            boolean stream = request.uri().startsWith("/s/");
            response.headers().set("Content-Type", stream ? "text/event-stream" : "application/json");
            context.writeAndFlush(response);
        }
    }
}
