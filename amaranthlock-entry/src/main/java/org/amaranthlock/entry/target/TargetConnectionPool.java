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
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.amaranthlock.coordination.availability.AvailabilityStatement;
import org.amaranthlock.coordination.forwarding.EngineReport;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.NotSentCause;
import org.amaranthlock.coordination.forwarding.StreamEvent;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.coordination.region.RegionLinks;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.EngineReportDecoder;
import org.amaranthlock.platform.KvCacheContents;
import org.amaranthlock.platform.KvCacheCopyCall;
import org.amaranthlock.platform.TargetResponseDecoder;

/** Pool of persistent connections to all targets. All calls are on one event loop. */
public final class TargetConnectionPool {
    /** Timeout for opening a connection; only a host that does not respond at all takes longer. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /**
     * Delay after which a probe opens a second connection, because a lost SYN packet is resent only after one second.
     */
    private static final long SECOND_PROBE_DELAY_MILLIS = 90;

    private static final long PROBE_TIMEOUT_MILLIS = 180;
    private static final long CALL_TIMEOUT_MILLIS = 300;
    private static final long COPY_TIMEOUT_MILLIS = 2_000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final EventLoop loop;
    private final ResponseMemory memory;
    private final LongSupplier clockMillis;
    private final EntryMetrics metrics;
    private final StatementListener statementListener;
    private final RegionLinks links;
    private final Bootstrap bootstrap;
    private final Map<TargetId, Deque<HttpTargetConnection>> idle = new HashMap<>();

    /** Receives what responses say about the availability of their targets. */
    @FunctionalInterface
    public interface StatementListener {
        /** Handles the head of a response to any request or call. */
        void onStatement(EntryTarget target, AvailabilityStatement statement);
    }

    /** Creates a pool whose connections run on {@code loop}. */
    public TargetConnectionPool(
            EventLoop loop,
            ResponseMemory memory,
            LongSupplier clockMillis,
            EntryMetrics metrics,
            StatementListener statementListener,
            RegionLinks links) {
        this.links = Objects.requireNonNull(links, "links");
        this.memory = Objects.requireNonNull(memory, "memory");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.statementListener = Objects.requireNonNull(statementListener, "statement listener");
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Sends a request to a target.
     *
     * @param reuse whether an idle connection may be reused. If the target died without a connection reset, a new
     *     connection fails before any byte of the request is sent; on a reused one the execution status of the request
     *     is unknown
     */
    public void send(EntryTarget target, TargetExchange exchange, boolean reuse) {
        exchange.onHead(head -> handleHead(target, head));
        if (!exchange.isCall()) {
            links.recordRequest(target.service());
        }
        HttpTargetConnection idleConnection = reuse ? pollIdleConnection(target.id(), exchange.requestId()) : null;
        if (idleConnection != null) {
            write(idleConnection, exchange);
            return;
        }
        metrics.recordTargetConnection("request");
        HttpTargetConnection newConnection =
                new HttpTargetConnection(connection -> addIdleConnection(target.id(), connection), memory, clockMillis);
        Bootstrap connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                if (links.isActive()) {
                    channel.pipeline().addLast(new LinkTrafficHandler(links, target));
                }
                channel.pipeline().addLast(new HttpRequestEncoder(), newConnection.decoder(), newConnection);
            }
        });
        long startedAtNanos = System.nanoTime();
        ChannelFuture opened = connecting.connect(target.address(), target.port());
        exchange.channel(opened.channel());
        opened.addListener(done -> {
            if (done.isSuccess()) {
                double millis = (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI;
                links.recordRoundTrip(target.failureDomain(), millis, clockMillis.getAsLong());
            }
            if (exchange.completed()) {
                opened.channel().close();
                exchange.request().release();
            } else if (done.isSuccess()) {
                write(newConnection, exchange);
            } else {
                exchange.complete();
                exchange.request().release();
                exchange.listener().onNotSent(connectFailure(done.cause()));
            }
        });
    }

    private static String connectFailure(Throwable cause) {
        return isRefused(cause)
                ? NotSentCause.CONNECTION_REFUSED
                : "connect: " + cause.getClass().getSimpleName();
    }

    private static boolean isRefused(Throwable cause) {
        return cause instanceof java.net.ConnectException
                && !(cause instanceof io.netty.channel.ConnectTimeoutException);
    }

    /** A response with 421 comes from another target at that address. */
    private void handleHead(EntryTarget target, HttpResponse head) {
        if (head.status().code() != HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            statementListener.onStatement(target, TargetResponseDecoder.decodeAvailability(head));
        }
    }

    /** Checks whether the host of a target accepts connections; the result is false if it does not do so in time. */
    public void probe(EntryTarget target, Consumer<Boolean> result) {
        Probe probe = new Probe(result);
        probe.open(target);
        loop.schedule(() -> probe.open(target), SECOND_PROBE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(() -> probe.complete(false), PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Requests an engine's report; the result is empty if the report does not arrive in time or cannot be decoded. */
    public void requestEngineReport(EntryTarget target, Consumer<Optional<EngineReport>> result) {
        call(target, reportRequest(target), CALL_TIMEOUT_MILLIS, EngineReportDecoder::decode, result);
    }

    /**
     * Requests the prompt parts in an engine's KV cache, with their number of tokens; the result is empty if they do not
     * arrive in time or cannot be decoded.
     */
    public void listKvCache(EntryTarget target, Consumer<Optional<Map<String, Long>>> result) {
        call(target, KvCacheContents.encodeCall(target), CALL_TIMEOUT_MILLIS, KvCacheContents::decode, result);
    }

    /**
     * Checks on a new connection whether a target lives. An accepted connection does not show it, for example behind a
     * proxy; a connection that stays open does, because a busy target may answer late.
     */
    public void checkResponds(EntryTarget target, Consumer<Boolean> result) {
        CheckListener listener = new CheckListener(result);
        TargetExchange exchange = TargetExchange.call(reportRequest(target), listener);
        send(target, exchange, false);
        loop.schedule(
                () -> {
                    exchange.cancel();
                    listener.complete(true);
                },
                CALL_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Requests that an engine copies the KV cache of a request to another engine; the result is the id of the copy, or
     * empty if no copy was made.
     */
    public void copyKvCache(
            String requestId, EntryTarget target, EntryTarget backupTarget, Consumer<Optional<String>> result) {
        FullHttpRequest request = KvCacheCopyCall.encodeCopy(requestId, target, backupTarget);
        call(target, request, COPY_TIMEOUT_MILLIS, KvCacheCopyCall::decodeCopyId, result);
    }

    /** Frees a KV cache copy; the result is ignored, because copies expire anyway. */
    public void freeCopy(EntryTarget target, String copyId) {
        FullHttpRequest request = KvCacheCopyCall.encodeFree(target, copyId);
        call(target, request, CALL_TIMEOUT_MILLIS, Optional::of, _ -> {});
    }

    private static FullHttpRequest reportRequest(EntryTarget target) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, EngineReportDecoder.PATH, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, target.authority());
        return request;
    }

    private <T> void call(
            EntryTarget target,
            FullHttpRequest request,
            long timeoutMillis,
            Function<byte[], Optional<T>> decoder,
            Consumer<Optional<T>> result) {
        CallListener<T> listener = new CallListener<>(decoder, result);
        TargetExchange exchange = TargetExchange.call(request, listener);
        send(target, exchange, true);
        loop.schedule(
                () -> {
                    exchange.cancel();
                    listener.complete(Optional.empty());
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Closes the idle connections to all targets except the {@code known} ones. */
    public void closeConnectionsExcept(Predicate<TargetId> known) {
        idle.entrySet().removeIf(entry -> {
            if (known.test(entry.getKey())) {
                return false;
            }
            entry.getValue().forEach(HttpTargetConnection::close);
            return true;
        });
    }

    /**
     * Removes and returns the connection that was used last, but none on which a request with this id was answered before:
     * a second copy of that answer could not be told from the answer to this one. Calls of this host itself have no id, so
     * a connection answers one of them only.
     */
    private HttpTargetConnection pollIdleConnection(TargetId id, String requestId) {
        Iterator<HttpTargetConnection> newestFirst =
                idle.getOrDefault(id, new ArrayDeque<>()).descendingIterator();
        while (newestFirst.hasNext()) {
            HttpTargetConnection candidate = newestFirst.next();
            if (!candidate.isReusable()) {
                newestFirst.remove();
                candidate.close();
            } else if (!candidate.hasAnswered(requestId)) {
                newestFirst.remove();
                return candidate;
            }
        }
        return null;
    }

    private void addIdleConnection(TargetId id, HttpTargetConnection connection) {
        Deque<HttpTargetConnection> idleConnections = idle.computeIfAbsent(id, _ -> new ArrayDeque<>());
        while (!idleConnections.isEmpty() && !idleConnections.peekFirst().isReusable()) {
            idleConnections.pollFirst().close();
        }
        idleConnections.addLast(connection);
    }

    private static void write(HttpTargetConnection connection, TargetExchange exchange) {
        connection.begin(exchange);
        connection.channel().writeAndFlush(exchange.request()).addListener(done -> {
            if (done.isSuccess() || exchange.completed()) {
                connection.markRequestSent();
                return;
            }
            connection.close();
            exchange.complete();
            // A channel that was closed before the write has sent nothing; after any other failure bytes may have been
            // sent.
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
        private boolean completed;

        CallListener(Function<byte[], Optional<T>> decoder, Consumer<Optional<T>> result) {
            this.decoder = decoder;
            this.result = result;
        }

        void complete(Optional<T> value) {
            if (!completed) {
                completed = true;
                result.accept(value);
            }
        }

        @Override
        public void onNotSent(String cause) {
            complete(Optional.empty());
        }

        @Override
        public void onLost(String cause) {
            complete(Optional.empty());
        }

        @Override
        public void onResponse(TargetResponse response) {
            complete(response.isSuccess() ? decoder.apply(response.body()) : Optional.empty());
        }

        @Override
        public void onStreamOpened(TargetResponse head) {
            complete(Optional.empty());
        }

        @Override
        public void onEvents(List<StreamEvent> events) {
            complete(Optional.empty());
        }

        @Override
        public void onStreamEnded() {
            complete(Optional.empty());
        }
    }

    private static final class CheckListener implements ExchangeListener {
        private final Consumer<Boolean> result;
        private boolean completed;

        CheckListener(Consumer<Boolean> result) {
            this.result = result;
        }

        void complete(boolean responds) {
            if (!completed) {
                completed = true;
                result.accept(responds);
            }
        }

        @Override
        public void onNotSent(String cause) {
            complete(false);
        }

        @Override
        public void onLost(String cause) {
            complete(false);
        }

        @Override
        public void onResponse(TargetResponse response) {
            complete(true);
        }

        @Override
        public void onStreamOpened(TargetResponse head) {
            complete(true);
        }

        @Override
        public void onEvents(List<StreamEvent> events) {
            complete(true);
        }

        @Override
        public void onStreamEnded() {
            complete(true);
        }
    }

    private final class Probe {
        private final Consumer<Boolean> result;
        private boolean completed;

        Probe(Consumer<Boolean> result) {
            this.result = result;
        }

        void open(EntryTarget target) {
            if (completed) {
                return;
            }
            metrics.recordTargetConnection("probe");
            ChannelFuture opened = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            // The connection is opened only to check reachability and carries no data.
                        }
                    })
                    .connect(target.address(), target.port());
            opened.addListener(done -> {
                opened.channel().close();
                if (done.isSuccess()) {
                    complete(true);
                } else if (isRefused(done.cause())) {
                    complete(false);
                }
            });
        }

        void complete(boolean reachable) {
            if (!completed) {
                completed = true;
                result.accept(reachable);
            }
        }
    }
}
