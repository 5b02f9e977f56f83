package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.SoftwareVersion;

/**
 * One attempt to have a request served by another host.
 *
 * @param number number of the attempt among those of the request at other hosts, starting at 1
 * @param host name of the host
 * @param timeLeftMillis time that the host may spend on the request, in milliseconds
 * @param lastEventId id of the event after which an event stream resumes
 * @param streamVersion version that began the event stream; empty while any version may, or if it is not known
 * @param executionsLeft number of targets that may still execute the request
 */
public record RelayAttempt(
        int number,
        String host,
        long timeLeftMillis,
        Optional<Long> lastEventId,
        Optional<SoftwareVersion> streamVersion,
        int executionsLeft) {
    public RelayAttempt {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(lastEventId, "last event id");
        Objects.requireNonNull(streamVersion, "stream version");
    }
}
