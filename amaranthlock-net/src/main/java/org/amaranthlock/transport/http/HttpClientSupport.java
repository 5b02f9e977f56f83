package org.amaranthlock.transport.http;

import static io.servicetalk.http.api.HttpExecutionStrategies.offloadNone;

import io.servicetalk.client.api.NoAvailableHostException;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpLoadBalancerFactory;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.loadbalancer.LoadBalancers;
import io.servicetalk.loadbalancer.OutlierDetectorConfig;
import io.servicetalk.transport.api.HostAndPort;
import io.servicetalk.transport.api.RetryableException;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.ConnectException;
import java.net.InetSocketAddress;

/** Creates HTTP clients and classifies their failures. */
public final class HttpClientSupport {
    /** Time limit for connecting; a live host in any region accepts a connection within a few tens of milliseconds. */
    public static final int CONNECT_TIMEOUT_MILLIS = 500;

    private static final int DISABLED_THRESHOLD = -1;

    private HttpClientSupport() {}

    /**
     * Creates a client with a connection pool for one address.
     *
     * <p>The client neither retries requests nor ejects the address after failures (outlier detection), because the
     * decision core makes both decisions. A response that HTTP does not allow fails its request.
     *
     * @param address IP address and port
     */
    public static StreamingHttpClient create(String address) {
        HostAndPort hostAndPort = HostAndPort.ofIpPort(address);
        return HttpClients.forResolvedAddress(hostAndPort)
                .protocols(HttpProtocolConfigs.h1().maxPipelinedRequests(1).build())
                .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
                .executionStrategy(offloadNone())
                .loadBalancerFactory(loadBalancerWithoutOutlierDetection())
                .appendConnectionFilter(new MalformedResponseFilter())
                .appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
                .buildStreaming();
    }

    /**
     * Returns whether it is certain that no byte of a request that failed with {@code failure} was sent.
     *
     * <p>ServiceTalk marks failures that occur before a request is written as {@link RetryableException}.
     */
    public static boolean isKnownNotSent(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException
                    || cause instanceof RetryableException
                    || cause instanceof NoAvailableHostException) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a request failed because no connection could be established. */
    public static boolean isConnectFailure(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException) {
                return true;
            }
        }
        return false;
    }

    /** Uses a deprecated factory, because this ServiceTalk release has no other way to configure the load balancer. */
    @SuppressWarnings("deprecation")
    private static HttpLoadBalancerFactory<InetSocketAddress> loadBalancerWithoutOutlierDetection() {
        OutlierDetectorConfig noEjection = new OutlierDetectorConfig.Builder()
                .failedConnectionsThreshold(DISABLED_THRESHOLD)
                .enforcingConsecutive5xx(0)
                .enforcingSuccessRate(0)
                .enforcingFailurePercentage(0)
                .build();
        return DefaultHttpLoadBalancerFactory.Builder.<InetSocketAddress>from(
                        LoadBalancers.<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder(
                                        "single-address")
                                .outlierDetectorConfig(noEjection)
                                .build())
                .build();
    }
}
