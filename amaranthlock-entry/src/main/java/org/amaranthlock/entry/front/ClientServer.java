package org.amaranthlock.entry.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.net.InetSocketAddress;
import java.util.Objects;

/** HTTP server for client connections. */
public final class ClientServer {
    private static final int BACKLOG = 1_024;

    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final ClientExchangeHandler exchangeHandler;
    private final ChannelGroup connections = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);
    private Channel serverChannel;

    /** Creates a server; {@link #start} binds its address. */
    public ClientServer(EventLoopGroup loops, InetSocketAddress address, ClientExchangeHandler exchangeHandler) {
        this.loops = Objects.requireNonNull(loops, "loops");
        this.address = Objects.requireNonNull(address, "address");
        this.exchangeHandler = Objects.requireNonNull(exchangeHandler, "exchange handler");
    }

    /** Binds the address and accepts connections. */
    public void start() {
        serverChannel = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        ClientConnectionHandler connection = new ClientConnectionHandler(exchangeHandler);
                        channel.pipeline()
                                .addLast(new BytesReceivedHandler(connection))
                                .addLast(new StrictRequestDecoder(
                                        exchangeHandler.limits().maxHeaderBytes()))
                                .addLast(new HttpResponseEncoder())
                                .addLast(connection);
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

    /** Stops accepting connections, closes idle ones at once and the others after their current response. */
    public void drain() {
        serverChannel.close();
        for (Channel channel : connections) {
            channel.eventLoop().execute(() -> {
                ClientConnectionHandler connection = channel.pipeline().get(ClientConnectionHandler.class);
                if (connection != null) {
                    connection.drain();
                }
            });
        }
    }

    /** Returns the number of open connections. */
    public int openConnectionCount() {
        return connections.size();
    }
}
