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

/** HTTP server that runs a blocking handler for every request on a separate thread. */
public final class StandinServer {
    private static final Logger LOG = Logger.getLogger(StandinServer.class);

    /** Strategy for handling requests. */
    @FunctionalInterface
    public interface Handler {
        /** Handles a request. An {@link HttpProblemException} is sent to the client as a problem document. */
        void handle(HttpExchange exchange) throws Exception;
    }

    private final String host;
    private final int port;
    private final Handler handler;
    private HttpServerContext context;

    /**
     * Creates a server.
     *
     * @param host the IP address to listen on
     * @param port the port, or 0 for an ephemeral port
     * @param handler the handler for all requests
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
                    "Cannot listen on " + host + ":" + port + "; choose a free port with --port.", e);
        }
    }

    /** Closes the port and all connections without waiting for open requests. */
    public synchronized void stop() {
        if (context == null) {
            return;
        }
        try {
            context.close();
        } catch (Exception e) {
            LOG.warnf("Closing the server at %s failed: %s", address(), e);
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
        HttpExchange exchange = new HttpExchange(service, request, response);
        try {
            handler.handle(exchange);
        } catch (HttpProblemException problem) {
            exchange.sendProblem(problem);
        } catch (HttpExchange.ConnectionDroppedException dropped) {
            throw dropped;
        } catch (IOException e) {
            LOG.debugf("%s: the client disconnected: %s", exchange.route(), e);
            throw e;
        } catch (RuntimeException e) {
            LOG.warnf(e, "Handling %s failed", exchange.route());
            if (exchange.responseStarted()) {
                throw e;
            }
            exchange.sendProblem(new HttpProblemException(500, "internal-error", String.valueOf(e)));
        }
    }
}
