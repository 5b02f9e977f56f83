package org.amaranthlock.coordination.targetlimit;

import java.util.Objects;
import java.util.OptionalDouble;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;

/**
 * Last known limit of a target.
 *
 * @param target run of the target that named it
 * @param service service to which the target belongs
 * @param requestsPerSecond requests per second from all hosts together; empty if the target has stopped naming a limit
 * @param version number of changes that the hosts have seen; the higher one of two observations is the later one
 */
public record KnownLimit(
        TargetIncarnation target, ServiceName service, OptionalDouble requestsPerSecond, long version) {
    public KnownLimit {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(requestsPerSecond, "requests per second");
        Arguments.requirePositive(version, "version");
    }

    /** Returns whether the target takes only a limited number of requests. */
    public boolean inForce() {
        return requestsPerSecond.isPresent();
    }

    /** Returns whether this observation replaces {@code other} of the same run; of two equal ones, the stricter one. */
    boolean supersedes(KnownLimit other) {
        if (version != other.version) {
            return version > other.version;
        }
        return requestsPerSecond.orElse(Double.MAX_VALUE) < other.requestsPerSecond.orElse(Double.MAX_VALUE);
    }
}
