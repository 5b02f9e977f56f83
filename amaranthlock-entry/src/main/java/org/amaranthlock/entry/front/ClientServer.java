package org.amaranthlock.entry.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/**
 * HTTP server for client connections.
 *
 * <p>When many hosts restart at once, clients try to connect for a second at most. The operating system therefore
 * accepts connections as soon as the address is bound, and they wait in its queue until {@link #accept} is called.
 */
public final class ClientServer {
    /** Reads from one connection before those of others. */
    private static final int MAX_READS = 16;

    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final Optional<ServerSocketChannel> boundSocket;
    private final ClientExchangeHandler exchangeHandler;
    private final UnreadBytes unreadBytes;
    private final ChannelGroup connections = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);
    private ServerSocketChannel socket;
    private Channel serverChannel;

    /**
     * Creates a server.
     *
     * @param boundSocket listening socket that was opened before; used if its address is {@code address}, otherwise
     *     closed
     * @param unreadBytes limits the bytes that clients have not read
     */
    public ClientServer(
            EventLoopGroup loops,
            InetSocketAddress address,
            Optional<ServerSocketChannel> boundSocket,
            ClientExchangeHandler exchangeHandler,
            UnreadBytes unreadBytes) {
        this.loops = Objects.requireNonNull(loops, "loops");
        this.address = Objects.requireNonNull(address, "address");
        this.boundSocket = Objects.requireNonNull(boundSocket, "bound socket");
        this.exchangeHandler = Objects.requireNonNull(exchangeHandler, "exchange handler");
        this.unreadBytes = Objects.requireNonNull(unreadBytes, "unread bytes");
    }

    /** Binds the address unless it is bound already. */
    public void start() {
        try {
            if (boundSocket.isPresent() && address.equals(boundSocket.get().getLocalAddress())) {
                socket = boundSocket.get();
                return;
            }
            if (boundSocket.isPresent()) {
                boundSocket.get().close();
            }
            socket = ListeningSocket.bind(address);
        } catch (IOException e) {
            throw new AmaranthlockException(
                    ErrorCode.INTERNAL,
                    "cannot listen on " + address + ": " + e.getMessage() + "; choose a free address of this host",
                    e);
        }
    }

    /** Accepts the waiting and all further connections; further calls have no effect. */
    public void accept() {
        if (serverChannel != null) {
            return;
        }
        serverChannel = new ServerBootstrap()
                .group(loops)
                .channelFactory(() -> new NioServerSocketChannel(socket))
                // All that wait are accepted at once, so that few do when the server stops.
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(ListeningSocket.BACKLOG))
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads on until nothing is left, so that the close of a client is seen together with its request.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        ClientConnectionHandler connection = new ClientConnectionHandler(exchangeHandler, unreadBytes);
                        channel.pipeline()
                                .addLast(new BytesReceivedHandler(connection))
                                .addLast(new StrictRequestDecoder(
                                        exchangeHandler.limits().maxHeaderBytes()))
                                .addLast(new HttpResponseEncoder())
                                .addLast(connection);
                    }
                })
                .register()
                .channel();
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) socket.socket().getLocalSocketAddress();
    }

    /** Stops accepting connections, closes idle ones and the others after their current response. */
    public void drain() {
        accept(); // connections that still wait get a response
        serverChannel.close();
        forEachConnection(ClientConnectionHandler::drain);
    }

    /** Rejects the requests that have not been received completely. */
    public void endUnread() {
        forEachConnection(ClientConnectionHandler::endUnread);
    }

    private void forEachConnection(Consumer<ClientConnectionHandler> action) {
        for (Channel channel : connections) {
            channel.eventLoop().execute(() -> {
                ClientConnectionHandler connection = channel.pipeline().get(ClientConnectionHandler.class);
                if (connection != null) {
                    action.accept(connection);
                }
            });
        }
    }

    /** Returns the number of open connections. */
    public int openConnectionCount() {
        return connections.size();
    }
}
