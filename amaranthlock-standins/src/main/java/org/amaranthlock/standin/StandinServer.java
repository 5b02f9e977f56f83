package org.amaranthlock.standin;

import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpServers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.jboss.logging.Logger;

/** HTTP server that passes every request to one handler on a thread of its own. */
public final class StandinServer {
    private static final Logger LOG = Logger.getLogger(StandinServer.class);

    /** Answers requests. */
    @FunctionalInterface
    public interface Handler {
        /** Answers one request; an {@link HttpProblemException} becomes the answer. */
        void handle(Exchange exchange) throws Exception;
    }

    private final String host;
    private final int port;
    private final Handler handler;
    private HttpServerContext context;

    /**
     * Creates a server.
     *
     * @param host IP number to listen on
     * @param port port, 0 for an ephemeral one
     * @param handler the handler
     */
    public StandinServer(String host, int port, Handler handler) {
        this.host = Objects.requireNonNull(host, "host");
        this.port = port;
        this.handler = Objects.requireNonNull(handler, "handler");
    }

    /** Opens the port. */
    public synchronized void start() {
        try {
            context = HttpServers.forAddress(new InetSocketAddress(host, port))
                    .listenBlockingStreamingAndAwait(this::handle);
        } catch (Exception e) {
            throw new IllegalStateException(
                    "Can't listen on " + host + ":" + port + "; choose a free port with --port.", e);
        }
    }

    /** Closes the port and all connections at once. */
    public synchronized void stop() {
        if (context == null) {
            return;
        }
        try {
            context.close();
        } catch (Exception e) {
            LOG.warnf("Closing %s failed: %s", address(), e);
        }
    }

    /** Returns the address as {@code host:port}. */
    public synchronized String address() {
        if (context == null) {
            throw new IllegalStateException("The server has not been started; call start() first.");
        }
        return host + ":" + ((InetSocketAddress) context.listenAddress()).getPort();
    }

    private void handle(
            HttpServiceContext service,
            BlockingStreamingHttpRequest request,
            BlockingStreamingHttpServerResponse response)
            throws Exception {
        Exchange exchange = new Exchange(service, request, response);
        try {
            handler.handle(exchange);
        } catch (HttpProblemException problem) {
            exchange.sendProblem(problem);
        } catch (Exchange.ConnectionDroppedException dropped) {
            throw dropped;
        } catch (IOException e) {
            LOG.debugf("%s: the client has left: %s", exchange.route(), e);
            throw e;
        } catch (RuntimeException e) {
            LOG.warnf(e, "%s failed", exchange.route());
            if (exchange.responseStarted()) {
                throw e;
            }
            exchange.sendProblem(new HttpProblemException(500, "internal-error", String.valueOf(e)));
        }
    }
}
