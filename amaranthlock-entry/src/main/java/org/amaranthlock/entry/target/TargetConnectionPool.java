package org.amaranthlock.entry.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.amaranthlock.coordination.forwarding.EngineReport;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.StreamEvent;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.EngineReportDecoder;
import org.amaranthlock.platform.KvCacheCopyCall;
import org.amaranthlock.platform.TargetResponseDecoder;

/** Connections to all targets, kept open between requests. All calls are on one event loop. */
public final class TargetConnectionPool {
    /** Time to open a connection; hosts that do not answer at all take longer. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /** A lost opening packet is sent again only after a second, so a probe opens a second connection after this. */
    private static final long SECOND_PROBE_MILLIS = 90;

    private static final long PROBE_TIMEOUT_MILLIS = 180;
    private static final long REPORT_TIMEOUT_MILLIS = 300;
    private static final long COPY_TIMEOUT_MILLIS = 2_000;

    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final EntryMetrics metrics;
    private final Bootstrap bootstrap;
    private final Map<TargetId, Deque<HttpTargetConnection>> idle = new HashMap<>();

    /** Creates connections on {@code loop}. */
    public TargetConnectionPool(EventLoop loop, LongSupplier clockMillis, EntryMetrics metrics) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Sends a request to a target.
     *
     * @param reuse whether a kept connection may be used. A target that died without a reset shows on a new connection
     *     before any byte of the request is sent; on a kept one the fate of the request is unknown
     */
    public void send(EntryTarget target, TargetExchange exchange, boolean reuse) {
        HttpTargetConnection kept = reuse ? keptConnection(target.id()) : null;
        if (kept != null) {
            write(kept, exchange);
            return;
        }
        metrics.recordTargetConnection("request");
        HttpTargetConnection fresh = new HttpTargetConnection(connection -> keep(target.id(), connection), clockMillis);
        Bootstrap connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpRequestEncoder(), fresh.decoder(), fresh);
            }
        });
        ChannelFuture opened = connecting.connect(target.address(), target.port());
        exchange.channel(opened.channel());
        opened.addListener(done -> {
            if (exchange.completed()) {
                opened.channel().close();
                exchange.request().release();
            } else if (done.isSuccess()) {
                write(fresh, exchange);
            } else {
                exchange.complete();
                exchange.request().release();
                exchange.listener()
                        .onNotSent("connect: " + done.cause().getClass().getSimpleName());
            }
        });
    }

    /** Checks whether a target's host accepts connections. */
    public void probe(EntryTarget target, Consumer<Boolean> result) {
        Probe probe = new Probe(result);
        probe.open(target);
        loop.schedule(() -> probe.open(target), SECOND_PROBE_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(() -> probe.end(false), PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Asks an engine for its report; empty if it does not come in time or cannot be read. */
    public void requestEngineReport(EntryTarget target, Consumer<Optional<EngineReport>> result) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, EngineReportDecoder.PATH, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, target.authority());
        call(target, request, REPORT_TIMEOUT_MILLIS, EngineReportDecoder::decode, result);
    }

    /** Asks the engine of a request to copy its memory to another engine; empty if there is no copy. */
    public void copyKvCache(
            String requestId, EntryTarget target, EntryTarget holder, Consumer<Optional<String>> copyId) {
        FullHttpRequest request = KvCacheCopyCall.encodeCopy(requestId, target, holder);
        call(target, request, COPY_TIMEOUT_MILLIS, KvCacheCopyCall::decodeCopyId, copyId);
    }

    /** Has a copy freed; whether that succeeds decides on nothing, since copies expire. */
    public void freeCopy(EntryTarget target, String copyId) {
        FullHttpRequest request = KvCacheCopyCall.encodeFree(target, copyId);
        call(target, request, REPORT_TIMEOUT_MILLIS, Optional::of, _ -> {});
    }

    private <T> void call(
            EntryTarget target,
            FullHttpRequest request,
            long timeoutMillis,
            Function<byte[], Optional<T>> decoder,
            Consumer<Optional<T>> result) {
        CallListener<T> listener = new CallListener<>(decoder, result);
        TargetExchange exchange = new TargetExchange(TargetResponseDecoder.NO_REQUEST_ID, request, listener);
        send(target, exchange, true);
        loop.schedule(
                () -> {
                    exchange.cancel();
                    listener.end(Optional.empty());
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Closes the connections to targets that are no longer known. */
    public void retain(Predicate<TargetId> known) {
        idle.entrySet().removeIf(entry -> {
            if (known.test(entry.getKey())) {
                return false;
            }
            entry.getValue().forEach(HttpTargetConnection::close);
            return true;
        });
    }

    private HttpTargetConnection keptConnection(TargetId id) {
        Deque<HttpTargetConnection> kept = idle.get(id);
        while (kept != null && !kept.isEmpty()) {
            HttpTargetConnection candidate = kept.pollLast();
            if (candidate.isReusable()) {
                return candidate;
            }
            candidate.close();
        }
        return null;
    }

    private void keep(TargetId id, HttpTargetConnection connection) {
        Deque<HttpTargetConnection> kept = idle.computeIfAbsent(id, _ -> new ArrayDeque<>());
        while (!kept.isEmpty() && !kept.peekFirst().isReusable()) {
            kept.pollFirst().close();
        }
        kept.addLast(connection);
    }

    private static void write(HttpTargetConnection connection, TargetExchange exchange) {
        connection.begin(exchange);
        connection.channel().writeAndFlush(exchange.request()).addListener(done -> {
            if (done.isSuccess() || exchange.completed()) {
                connection.requestWritten();
                return;
            }
            connection.close();
            exchange.complete();
            // A channel that was closed before the write has sent nothing; after any other failure bytes may be out.
            if (done.cause() instanceof ClosedChannelException && !connection.wasActiveAtWrite()) {
                exchange.listener().onNotSent("connection closed before the request");
            } else {
                exchange.listener().onLost("write: " + done.cause().getClass().getSimpleName());
            }
        });
    }

    private static final class CallListener<T> implements ExchangeListener {
        private final Function<byte[], Optional<T>> decoder;
        private final Consumer<Optional<T>> result;
        private boolean ended;

        CallListener(Function<byte[], Optional<T>> decoder, Consumer<Optional<T>> result) {
            this.decoder = decoder;
            this.result = result;
        }

        void end(Optional<T> answer) {
            if (!ended) {
                ended = true;
                result.accept(answer);
            }
        }

        @Override
        public void onNotSent(String cause) {
            end(Optional.empty());
        }

        @Override
        public void onLost(String cause) {
            end(Optional.empty());
        }

        @Override
        public void onResponse(TargetResponse answer) {
            end(answer.isSuccess() ? decoder.apply(answer.body()) : Optional.empty());
        }

        @Override
        public void onStreamOpened(TargetResponse head) {
            end(Optional.empty());
        }

        @Override
        public void onEvents(List<StreamEvent> events) {
            end(Optional.empty());
        }

        @Override
        public void onStreamEnded() {
            end(Optional.empty());
        }
    }

    private final class Probe {
        private final Consumer<Boolean> result;
        private boolean ended;

        Probe(Consumer<Boolean> result) {
            this.result = result;
        }

        void open(EntryTarget target) {
            if (ended) {
                return;
            }
            metrics.recordTargetConnection("probe");
            ChannelFuture opened = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            // Nothing is exchanged on it.
                        }
                    })
                    .connect(target.address(), target.port());
            opened.addListener(done -> {
                opened.channel().close();
                if (done.isSuccess()) {
                    end(true);
                } else if (done.cause() instanceof java.net.ConnectException
                        && !(done.cause() instanceof io.netty.channel.ConnectTimeoutException)) {
                    end(false);
                }
            });
        }

        void end(boolean reachable) {
            if (!ended) {
                ended = true;
                result.accept(reachable);
            }
        }
    }
}
