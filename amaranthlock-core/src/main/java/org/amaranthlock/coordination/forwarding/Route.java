package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;

/**
 * Rule of the configuration that sends requests of one host and path prefix to services.
 *
 * @param name name for logs
 * @param host value of the {@code Host} header without a port, in lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind which repeats are allowed
 * @param timeoutMillis longest time until the final answer, milliseconds
 * @param goalMillis time within which an answer has its full value, milliseconds
 * @param maxAttempts most targets that one attempt of a client may run on
 * @param priority rank of its requests; 0 is the most urgent
 * @param keyless whether requests need no key
 * @param resumable whether an event stream may go on at another target
 * @param services services that take the requests, with their weights; at least one
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long goalMillis,
        int maxAttempts,
        int priority,
        boolean keyless,
        boolean resumable,
        List<WeightedService> services) {
    public Route {
        Arguments.requireText(host, "host");
        Arguments.requireText(pathPrefix, "path prefix");
        Objects.requireNonNull(kind, "kind");
        Arguments.requirePositive(timeoutMillis, "timeout");
        Arguments.requirePositive(maxAttempts, "max attempts");
        services = List.copyOf(services);
        Arguments.require(!services.isEmpty(), "a route needs a service");
    }

    /** Returns whether a request of this route may run more than once. */
    public boolean isRetryable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAMING -> resumable;
        };
    }

    /**
     * Returns the service for one request.
     *
     * @param draw number from 0 (inclusive) to 1 (exclusive)
     */
    public ServiceName service(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.getFirst().service();
    }
}
