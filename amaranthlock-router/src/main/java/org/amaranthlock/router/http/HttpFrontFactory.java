package org.amaranthlock.router.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.model.HostId;
import org.amaranthlock.router.control.ControlQueue;
import org.amaranthlock.router.control.Timeline;
import org.amaranthlock.router.metrics.RouterMetrics;

/**
 * Factory for the HTTP server of a router.
 *
 * @param self id of this process
 * @param address address to listen on
 * @param readTimeout timeout for the first request head of a connection and for each request body
 * @param operatorHashes SHA-256 hashes of the operators' keys in hexadecimal, by operator name
 * @param queue queue of the control thread
 * @param exchanges open requests of clients
 * @param operatorCalls operator calls that wait for a result
 * @param timeline timeline of this process
 * @param metrics metrics of this process
 * @param status current status of the router; called from any thread
 */
public record HttpFrontFactory(
        HostId self,
        InetSocketAddress address,
        Duration readTimeout,
        Map<String, String> operatorHashes,
        ControlQueue queue,
        ExchangeRegistry exchanges,
        PendingOperatorCalls operatorCalls,
        Timeline timeline,
        RouterMetrics metrics,
        Supplier<RouterStatus> status) {
    private static final int ID_RADIX = 36;

    /**
     * Creates an HTTP server without starting it.
     *
     * @param configuration resolves accounts and services; read on the control thread only
     */
    public HttpFront create(ConfigurationView configuration) {
        AtomicLong lastRequestNumber = new AtomicLong();
        RequestResolver resolver = new RequestResolver(
                configuration, () -> self + "-" + Long.toString(lastRequestNumber.incrementAndGet(), ID_RADIX));
        return new HttpFront(
                address,
                readTimeout,
                new ClientRequestHandler(queue, resolver, exchanges),
                new OperatorRequestHandler(
                        new OperatorAuthentication(operatorHashes), operatorCalls, timeline, metrics, status));
    }
}
