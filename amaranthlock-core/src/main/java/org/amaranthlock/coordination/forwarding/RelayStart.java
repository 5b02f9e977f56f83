package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.SoftwareVersion;

/**
 * State of a request when it is passed to another host.
 *
 * @param stream what the client has received of an event stream
 * @param streamVersion version that began the event stream; empty while any version may, or if it is not known yet
 * @param executions number of targets that may have executed the request
 * @param arrivedAtMillis time at which the request arrived
 * @param deadlineMillis time by which it must have its final response
 */
public record RelayStart(
        StreamProgress stream,
        Optional<SoftwareVersion> streamVersion,
        int executions,
        long arrivedAtMillis,
        long deadlineMillis) {
    public RelayStart {
        Objects.requireNonNull(stream, "stream");
        Objects.requireNonNull(streamVersion, "stream version");
    }
}
