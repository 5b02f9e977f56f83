package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;

/**
 * Routing rule that maps the requests of one host and path prefix to services.
 *
 * @param name name of the route in logs
 * @param host value of the {@code Host} header without a port, in lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind retry semantics of its requests
 * @param timeoutMillis maximum time until the final response, in milliseconds
 * @param latencyGoalMillis time within which a response should arrive, in milliseconds; later ones are of less use
 * @param maxAttempts maximum number of targets that may execute one client request
 * @param priority priority of its requests; 0 is the highest
 * @param keyless whether requests need no API key
 * @param resumable whether an event stream may be resumed on another target
 * @param services services among which requests are distributed by weight; at least one
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long latencyGoalMillis,
        int maxAttempts,
        int priority,
        boolean keyless,
        boolean resumable,
        List<WeightedService> services) {
    /** Statuses that tell a client that its request was not executed; targets state this in a separate header. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

    public Route {
        Arguments.requireText(host, "host");
        Arguments.requireText(pathPrefix, "path prefix");
        Objects.requireNonNull(kind, "kind");
        Arguments.requirePositive(timeoutMillis, "timeout");
        Arguments.requirePositive(maxAttempts, "max attempts");
        services = List.copyOf(services);
        Arguments.require(!services.isEmpty(), "route \"" + name + "\" must have at least one service");
    }

    /** Returns whether a request of this route may be executed more than once. */
    public boolean isRetryable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAMING -> resumable;
        };
    }

    /**
     * Returns whether the complete response of a target may reach a client. A success needs the target's stamp and, on a
     * streaming route, consists of events. A status that promises that the request was not executed needs the target's own
     * statement if the client may not repeat it otherwise.
     */
    public boolean accepts(TargetResponse response) {
        if (response.isSuccess()) {
            return response.stamped() && kind != RouteKind.STREAMING;
        }
        return isRetryable() || !NOT_RUN_STATUSES.contains(response.status());
    }

    /** Returns this route with another maximum number of targets that may execute a request. */
    public Route withMaxAttempts(int attempts) {
        return new Route(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMillis,
                latencyGoalMillis,
                attempts,
                priority,
                keyless,
                resumable,
                services);
    }

    /**
     * Selects the service for one request by weight.
     *
     * @param random random number from 0 (inclusive) to 1 (exclusive)
     */
    public ServiceName selectService(double random) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = random * total;
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.getFirst().service(); // all weights are zero
    }
}
