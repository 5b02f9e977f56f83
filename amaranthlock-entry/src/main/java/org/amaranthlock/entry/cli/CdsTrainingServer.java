package org.amaranthlock.entry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.platform.PeerRegistration;
import org.amaranthlock.platform.PeerRegistrationCodec;
import org.amaranthlock.platform.PromptPartVerdictCodec;
import org.amaranthlock.platform.SampleMessages;
import org.amaranthlock.platform.StoredObject;
import org.amaranthlock.platform.WireHeaders;

/** Server on loopback that acts as the store and the target of a {@link CdsTrainingRun}. */
final class CdsTrainingServer {
    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    /** Address at which nothing listens. */
    private static final String NO_HOST = "127.0.0.1:1";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, PeerRegistration> hosts = new ConcurrentHashMap<>();
    private Channel serverChannel;

    /**
     * Creates a server.
     *
     * @param absentHosts number of registered hosts that do not run, so that those that run behave as in a large fleet
     */
    CdsTrainingServer(int absentHosts) {
        for (int i = 0; i < absentHosts; i++) {
            String name = "absent-" + i;
            hosts.put(name, new PeerRegistration(name, NO_HOST, new FailureDomain("z")));
        }
    }

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

    private String responseBody(FullHttpRequest request) throws IOException {
        String uri = request.uri();
        if (uri.contains(PeerRegistrationCodec.KIND)) {
            return request.method().equals(HttpMethod.GET)
                    ? SampleMessages.hostList(hosts.values())
                    : register(uri.substring(uri.lastIndexOf('/') + 1), ByteBufUtil.getBytes(request.content()));
        }
        if (uri.contains(PromptPartVerdictCodec.KIND)) {
            return SampleMessages.hostList(List.of());
        }
        return SampleMessages.response(
                uri, "127.0.0.1:" + ((InetSocketAddress) serverChannel.localAddress()).getPort());
    }

    private String register(String name, byte[] body) throws IOException {
        JsonNode spec = JSON.readTree(body).path("spec");
        PeerRegistration host = PeerRegistrationCodec.decode(new StoredObject(name, 1, spec))
                .orElseThrow(() -> new IOException("registration of " + name + " cannot be read"));
        hosts.put(name, host);
        return SampleMessages.host(host);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) throws IOException {
            byte[] body = responseBody(request).getBytes(StandardCharsets.UTF_8);
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
