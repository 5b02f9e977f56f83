package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.contention.AdmissionVerdict;
import org.amaranthlock.coordination.placement.FleetView;
import org.amaranthlock.model.PromptPartId;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Where a request would go now, and why. The reservation that a keeper may grant at another engine is not included.
 *
 * @param route its route
 * @param service its service
 * @param relayed whether another host would serve it, because this one has no path to the targets
 * @param versions versions of the service's targets and whether the roll-out lets the request use them
 * @param queue state of the queue at this host
 * @param verdict whether a request that arrives now is sent, waits or is turned away; empty for one that was sent
 * @param suspectParts parts of the prompt under which targets crashed; the request is tried alone or rejected
 * @param attempt the next attempt
 * @param reports ages of the load reports on which the costs rest
 * @param progress what has been done; empty for a request that has not arrived
 */
public record RequestPreview(
        Route route,
        ServiceDefinition service,
        boolean relayed,
        List<VersionState> versions,
        QueueState queue,
        Optional<AdmissionVerdict> verdict,
        List<PromptPartId> suspectParts,
        AttemptPreview attempt,
        ReportAges reports,
        Optional<Progress> progress) {
    public RequestPreview {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        versions = List.copyOf(versions);
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(verdict, "verdict");
        suspectParts = List.copyOf(suspectParts);
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(reports, "reports");
        Objects.requireNonNull(progress, "progress");
    }

    /**
     * Version of the software of some targets.
     *
     * @param targets number of targets that run it
     * @param open whether the request may use it
     * @param preferredTargets number of these targets that the request uses first
     */
    public record VersionState(SoftwareVersion version, int targets, boolean open, int preferredTargets) {}

    /**
     * Queue of a service at this host.
     *
     * @param applies whether requests may wait there; the rest is 0 if not
     * @param length number of requests that wait there
     * @param share share of this host in the room of the engines, from 0 to 1
     */
    public record QueueState(boolean applies, int length, double share) {
        /** State if requests do not wait at their host. */
        public static final QueueState OFF = new QueueState(false, 0, 0);
    }

    /**
     * Progress of a request that a client has sent.
     *
     * @param ageMillis time since its arrival, in milliseconds
     * @param waiting whether it waits in the queue of this host
     * @param attempts number of attempts that were begun
     * @param current the current attempt
     * @param generating whether the current attempt has sent events
     */
    public record Progress(
            long ageMillis, boolean waiting, int attempts, Optional<Attempt> current, boolean generating) {}

    /** Returns the estimates of the fleet on which the costs rest. */
    public FleetView fleet() {
        return attempt.placement().fleet();
    }
}
