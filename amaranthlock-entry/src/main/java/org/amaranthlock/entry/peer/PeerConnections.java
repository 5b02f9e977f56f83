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
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.loadreport.ReportPeer;
import org.amaranthlock.coordination.loadreport.ReportPlanner;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.platform.PeerRegistration;

/**
 * Connections to the other entry hosts, which carry load reports, announcements and queries for data from the store.
 *
 * <p>Each host opens a connection to each other host; a response is sent on the connection of its query. A connection
 * whose send buffer does not drain is closed and opened again. All calls are on the control loop.
 */
public final class PeerConnections {
    /** Longest frame; it holds the largest response of a target with its headers. */
    static final int MAX_FRAME_BYTES = 9 << 20;

    /** Bytes waiting to be sent from which on a connection counts as stuck. */
    private static final int MAX_UNSENT_BYTES = 1 << 20;

    /** Traffic to all other hosts between two maintenances from which on a line is written. */
    private static final long LOGGED_SENT_BYTES = 256 << 10;

    /** Bytes for all other hosts that wait to be sent from which on a line is written. */
    private static final long LOGGED_UNSENT_BYTES = 64 << 10;

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Interval at which closed connections are opened again and stuck ones closed. */
    private static final long MAINTENANCE_INTERVAL_MILLIS = 500;

    /** The same in a fleet that is large enough for many hosts to be down at a time. */
    private static final long LARGE_FLEET_MAINTENANCE_INTERVAL_MILLIS = 1_500;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final SentFrameListener sentFrameListener;
    private final Map<String, Channel> connections = new HashMap<>();

    /**
     * {@link MessageLevel} by host, as it has told on the connection that this host opened to it. What arrives on another
     * connection may come from a process that has ended, and the host may run an earlier build since.
     */
    private final Map<String, Integer> messageLevels = new HashMap<>();

    private final Set<Integer> loggedTypes = new HashSet<>();
    private long sentBytes;
    private volatile PeerListener listener;
    private volatile Supplier<EntryPeerMessage> greeting;
    private Set<PeerRegistration> peers = Set.of();
    private Set<String> registeredNames = Set.of();
    private volatile Map<String, FailureDomain> domains = Map.of();

    /** Receives the size of each frame that this host sends to a registered host. */
    @FunctionalInterface
    public interface SentFrameListener {
        /** Handles a frame of {@code bytes} bytes to a host in a failure domain. */
        void onSent(FailureDomain domain, EntryPeerMessage message, int bytes);
    }

    /** Creates peer connections; {@link #start} binds {@code address}. */
    public PeerConnections(
            EventLoop loop,
            InetSocketAddress address,
            SentFrameListener sentFrameListener,
            DecisionLog log,
            EntryMetrics metrics) {
        this.sentFrameListener = Objects.requireNonNull(sentFrameListener, "sent frame listener");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.address = Objects.requireNonNull(address, "address");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /**
     * Starts accepting connections and keeping those of this host open.
     *
     * @param newGreeting returns the first message on a connection that this host opens, from which the other host
     *     learns what this one reads
     * @return the bound address
     */
    public InetSocketAddress start(PeerListener newListener, Supplier<EntryPeerMessage> newGreeting) {
        listener = Objects.requireNonNull(newListener, "listener");
        greeting = Objects.requireNonNull(newGreeting, "greeting");
        Channel serverChannel = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        frameDecoder(),
                                        new LengthFieldPrepender(PeerFrame.LENGTH_BYTES),
                                        new InboundHandler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        scheduleMaintenance();
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Replaces the set of peers: closes connections to removed peers and connects to new ones. */
    public void updatePeers(Set<PeerRegistration> newPeers) {
        peers = Set.copyOf(newPeers);
        domains = peers.stream()
                .collect(Collectors.toUnmodifiableMap(
                        PeerRegistration::name, PeerRegistration::failureDomain, (first, _) -> first));
        registeredNames = peers.stream().map(PeerRegistration::name).collect(Collectors.toUnmodifiableSet());
        connections.entrySet().removeIf(connection -> {
            boolean removed = !registeredNames.contains(connection.getKey());
            if (removed) {
                connection.getValue().close();
            }
            return removed;
        });
        peers.forEach(this::connect);
    }

    /** Returns the names of the connected hosts in the failure domains that {@code domainFilter} matches. */
    public Set<String> connectedPeers(Predicate<FailureDomain> domainFilter) {
        return peers.stream()
                .filter(peer -> domainFilter.test(peer.failureDomain()))
                .map(PeerRegistration::name)
                .filter(this::isConnected)
                .collect(Collectors.toSet());
    }

    /** Returns the names of all connected hosts. */
    public Set<String> connectedPeers() {
        return connections.entrySet().stream()
                .filter(connection -> connection.getValue().isActive())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /**
     * Sends a query to a host.
     *
     * @return whether the host is connected and reads the message; if not, nothing is sent
     */
    public boolean sendQuery(String peer, EntryPeerMessage query) {
        if (!isConnected(peer) || query.requiredLevel() > messageLevel(peer)) {
            return false;
        }
        write(peer, connections.get(peer), PeerFrame.of(query));
        return true;
    }

    /** Returns the connected hosts that keep the versions of event streams. */
    public Set<String> peersThatKeepStreamVersions() {
        return connectedPeers().stream()
                .filter(peer -> messageLevel(peer) >= MessageLevel.STREAM_VERSIONS)
                .collect(Collectors.toSet());
    }

    /** Returns whether a connection is being opened, or is open and its host has not sent its message level. */
    public boolean awaitsMessageLevels() {
        return connections.entrySet().stream()
                .anyMatch(connection ->
                        connection.getValue().isOpen() && !messageLevels.containsKey(connection.getKey()));
    }

    /** Returns the connected hosts that send their state to a starting host. */
    public List<PeerRegistration> peersThatTellStarts() {
        return peers.stream()
                .filter(peer -> isConnected(peer.name()))
                .filter(peer -> messageLevel(peer.name()) >= MessageLevel.START_FROM_PEERS)
                .toList();
    }

    /** Returns the failure domains of the connected hosts that grant reservations, by name. */
    public Map<String, FailureDomain> peersThatReserve() {
        return peers.stream()
                .filter(peer -> isConnected(peer.name()))
                .filter(peer -> messageLevel(peer.name()) >= MessageLevel.RESERVATIONS)
                .collect(
                        Collectors.toMap(PeerRegistration::name, PeerRegistration::failureDomain, (first, _) -> first));
    }

    /** Returns the connected hosts that are registered, all as responsive. */
    public List<ReportPeer> reportPeers() {
        return peers.stream()
                .filter(peer -> isConnected(peer.name()))
                .map(peer -> new ReportPeer(
                        peer.name(),
                        peer.failureDomain(),
                        messageLevel(peer.name()) >= MessageLevel.REPORT_BUNDLES,
                        true))
                .toList();
    }

    /** Returns the names of the other registered hosts, connected or not. */
    public Set<String> registeredPeers() {
        return registeredNames;
    }

    /** Sends a message, which all builds read, to all connected hosts. */
    public void broadcast(EntryPeerMessage message) {
        send(connections.keySet(), message);
    }

    /** Sends a message to those of the hosts that are connected and read it; returns to how many. */
    public int send(Collection<String> hosts, EntryPeerMessage message) {
        return hosts.isEmpty() ? 0 : send(hosts, PeerFrame.of(message));
    }

    /** Like {@link #send(Collection, EntryPeerMessage)}, for an encoded message. */
    public int send(Collection<String> hosts, PeerFrame frame) {
        int receivers = 0;
        for (String host : hosts) {
            if (isConnected(host) && frame.message().requiredLevel() <= messageLevel(host)) {
                write(host, connections.get(host), frame);
                receivers++;
            }
        }
        return receivers;
    }

    /** Opens a connection to a registered host if there is none. */
    public void connect(String host) {
        if (!isConnected(host)) {
            peers.stream().filter(peer -> peer.name().equals(host)).forEach(this::connect);
        }
    }

    /** Closes the connection to an unresponsive host; a new one is opened after some time. */
    public void reset(String peer) {
        Channel connection = connections.get(peer);
        if (connection != null) {
            connection.close();
        }
    }

    private boolean isConnected(String peer) {
        Channel connection = connections.get(peer);
        return connection != null && connection.isActive();
    }

    private int messageLevel(String peer) {
        return messageLevels.getOrDefault(peer, MessageLevel.FIRST);
    }

    private void updateMessageLevel(String peer, int level) {
        Integer before = messageLevels.put(peer, level);
        if (before == null || before != level) {
            log.write("peer-message-level", "peer", peer, "level", level);
            listener.onMessageLevelChanged(peer);
        }
    }

    private void logUnsupported(int type) {
        if (loggedTypes.add(type)) {
            log.write("peer-message-ignored", "type", type, "level", MessageLevel.CURRENT);
        }
    }

    private void scheduleMaintenance() {
        boolean largeFleet = peers.size() >= ReportPlanner.MAX_DIRECT_HOSTS;
        long delayMillis = largeFleet ? LARGE_FLEET_MAINTENANCE_INTERVAL_MILLIS : MAINTENANCE_INTERVAL_MILLIS;
        loop.schedule(this::maintain, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void maintain() {
        scheduleMaintenance();
        reportTraffic();
        for (PeerRegistration peer : peers) {
            Channel connection = connections.get(peer.name());
            if (connection != null && connection.isOpen() && !connection.isWritable()) {
                log.write("peer-link-stuck", "peer", peer.name());
                connection.close();
            }
            connect(peer);
        }
    }

    private void reportTraffic() {
        long unsentBytes = connections.values().stream()
                .filter(Channel::isActive)
                .mapToLong(PeerConnections::unsentBytes)
                .sum();
        metrics.updateUnsentPeerBytes(unsentBytes);
        if (sentBytes >= LOGGED_SENT_BYTES || unsentBytes >= LOGGED_UNSENT_BYTES) {
            log.write("peer-traffic", "sent_bytes", sentBytes, "unsent_bytes", unsentBytes, "peers", peers.size());
        }
        sentBytes = 0;
    }

    private static long unsentBytes(Channel connection) {
        return connection.isWritable()
                ? MAX_UNSENT_BYTES + 1 - connection.bytesBeforeUnwritable()
                : MAX_UNSENT_BYTES / 2 + connection.bytesBeforeWritable();
    }

    private void connect(PeerRegistration peer) {
        Channel existing = connections.get(peer.name());
        if (existing != null && existing.isOpen()) {
            return;
        }
        int colon = peer.address().lastIndexOf(':');
        ChannelFuture opened = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        frameDecoder(),
                                        new LengthFieldPrepender(PeerFrame.LENGTH_BYTES),
                                        new ResponseHandler(peer.name()));
                    }
                })
                .connect(
                        peer.address().substring(0, colon),
                        Integer.parseInt(peer.address().substring(colon + 1)));
        connections.put(peer.name(), opened.channel());
    }

    private static LengthFieldBasedFrameDecoder frameDecoder() {
        return new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, PeerFrame.LENGTH_BYTES, 0, PeerFrame.LENGTH_BYTES);
    }

    private void write(String peer, Channel connection, PeerFrame frame) {
        FailureDomain domain = domains.get(peer);
        if (domain != null) {
            sentFrameListener.onSent(domain, frame.message(), frame.bytes());
        }
        metrics.recordPeerMessage("sent", frame.message().getClass().getSimpleName(), frame.encoded().length);
        sentBytes += frame.bytes();
        connection.writeAndFlush(Unpooled.wrappedBuffer(frame.encoded()));
    }

    /** Decodes frames; one of a newer build is ignored, and one that cannot be decoded closes its connection. */
    private abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        abstract void handle(Channel connection, EntryPeerMessage message);

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            try {
                int bytes = frame.readableBytes();
                EntryPeerMessage message = EntryPeerMessageCodec.decode(ByteBufUtil.getBytes(frame));
                metrics.recordPeerMessage("received", message.getClass().getSimpleName(), bytes);
                if (message instanceof EntryPeerMessage.Unsupported unsupported) {
                    logUnsupported(unsupported.type());
                } else {
                    handle(context.channel(), message);
                }
            } catch (IllegalArgumentException e) {
                log.write("peer-frame-unreadable", "cause", e.getMessage());
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
            if (!(cause instanceof IOException)) {
                // Program error; the end of the pipeline logs it.
                context.fireExceptionCaught(cause);
            }
        }
    }

    /** Handles messages on the connections that other hosts have opened. */
    private final class InboundHandler extends FrameHandler {
        private Consumer<EntryPeerMessage> reply;
        private boolean levelTold;

        /** Host that has opened this connection; empty until its first report. */
        private volatile String peer = "";

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            Channel connection = context.channel();
            reply = message -> write(peer, connection, PeerFrame.of(message));
        }

        @Override
        void handle(Channel connection, EntryPeerMessage message) {
            if (message instanceof EntryPeerMessage.LoadReport report) {
                peer = peer.isEmpty() ? report.report().host() : peer;
                tellLevel(report);
            }
            listener.onMessage(message, reply);
        }

        /** A host is told what this one reads if it reads that itself. */
        private void tellLevel(EntryPeerMessage.LoadReport report) {
            if (!levelTold && report.messageLevel() > MessageLevel.FIRST) {
                levelTold = true;
                reply.accept(EntryPeerMessage.MessageLevelTold.ofThisHost());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.onInboundClosed(reply);
        }
    }

    /** Handles responses on a connection that this host has opened to a peer. */
    private final class ResponseHandler extends FrameHandler {
        private final String peer;

        private ResponseHandler(String peer) {
            this.peer = peer;
        }

        @Override
        void handle(Channel connection, EntryPeerMessage message) {
            switch (message) {
                case EntryPeerMessage.MessageLevelTold told -> updateMessageLevel(peer, told.messageLevel());
                case EntryPeerMessage.Response response -> listener.onResponse(response);
                default ->
                    throw new IllegalArgumentException("message on the connection to " + peer + " is not a response");
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            // The peer learns from it what this host reads, and need not wait for the next one.
            write(peer, context.channel(), PeerFrame.of(greeting.get()));
            listener.onConnectionOpened(peer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            messageLevels.remove(peer);
            listener.onConnectionClosed(peer);
        }
    }
}
