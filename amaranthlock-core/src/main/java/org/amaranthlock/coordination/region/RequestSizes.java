package org.amaranthlock.coordination.region;

import java.util.HashMap;
import java.util.Map;
import org.amaranthlock.model.ServiceName;

/** Mean bytes of the requests of each service and their answers. Not thread-safe. */
final class RequestSizes {
    /** Number of requests that the mean covers at most; older ones lose their weight. */
    private static final double MAX_REQUESTS = 1_000;

    private final Map<ServiceName, Sum> sums = new HashMap<>();

    private static final class Sum {
        private double requests;
        private double bytes;
    }

    /** Counts a request. */
    void addRequest(ServiceName service) {
        Sum sum = sums.computeIfAbsent(service, _ -> new Sum());
        if (sum.requests >= MAX_REQUESTS) {
            sum.requests /= 2;
            sum.bytes /= 2;
        }
        sum.requests++;
    }

    /** Counts bytes of a request or an answer. */
    void addBytes(ServiceName service, long bytes) {
        sums.computeIfAbsent(service, _ -> new Sum()).bytes += bytes;
    }

    /** Returns the mean bytes of a request and its answer; 0 if none has been sent. */
    double meanBytes(ServiceName service) {
        Sum sum = sums.get(service);
        return sum == null || sum.requests == 0 ? 0 : sum.bytes / sum.requests;
    }
}
