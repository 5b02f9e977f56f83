package org.amaranthlock.entry.explain;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.RequestPreview;

/**
 * Where a request would go now, and why.
 *
 * @param host name of the host that explains
 * @param requestId id of the request in progress; empty for one that nobody has sent
 * @param admission verdict of the admission
 * @param queueOffReason why requests of the service do not wait at this host; empty if they do
 * @param passedOn whether a request in progress has been passed on to another host, which explains it
 * @param preview where it would go; empty if it is not admitted
 */
public record Explanation(
        String host,
        Optional<String> requestId,
        Admission admission,
        String queueOffReason,
        boolean passedOn,
        Optional<RequestPreview> preview) {
    public Explanation {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(requestId, "request id");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(queueOffReason, "reason without a queue");
        Objects.requireNonNull(preview, "preview");
    }

    /**
     * Verdict of the admission.
     *
     * @param rejection rejection of the request; empty if it is admitted
     * @param configurationVersion version of the configuration on which the verdict rests
     * @param configurationAgeMillis time since it was found to be the newest, in milliseconds
     * @param route name of the route
     * @param account client account, or "-" for a request without a known API key
     * @param priority priority of a request to an engine; empty for others
     */
    public record Admission(
            Optional<Rejection> rejection,
            long configurationVersion,
            long configurationAgeMillis,
            String route,
            String account,
            OptionalInt priority) {}
}
