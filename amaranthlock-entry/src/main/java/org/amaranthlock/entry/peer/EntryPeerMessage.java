package org.amaranthlock.entry.peer;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.coordination.loadreport.ReportVersion;
import org.amaranthlock.coordination.promptpart.PromptPartReport;
import org.amaranthlock.coordination.reservation.ReservationRequest;
import org.amaranthlock.coordination.rollout.RolloutEvidence;
import org.amaranthlock.coordination.rollout.RolloutGrant;
import org.amaranthlock.coordination.rollout.RolloutOrder;
import org.amaranthlock.coordination.rollout.RolloutStep;
import org.amaranthlock.coordination.streamversion.StreamKey;
import org.amaranthlock.coordination.targetlimit.PermitDecision;
import org.amaranthlock.coordination.targetlimit.PermitRequest;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.ClientRequest;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoredObject;

/** Message between entry hosts. */
public sealed interface EntryPeerMessage {
    /** Returns the {@link MessageLevel} that a host needs to handle the message. */
    default int requiredLevel() {
        return MessageLevel.FIRST;
    }

    /**
     * Load report of the sending host.
     *
     * @param messageLevel {@link MessageLevel} of that host
     * @param version version of the report; empty from a build that does not number its reports
     * @param passOn whether the receiver passes the report on to the other hosts
     */
    record LoadReport(HostLoadReport report, int messageLevel, Optional<ReportVersion> version, boolean passOn)
            implements EntryPeerMessage {
        /** Checks that the report and the version are present. */
        public LoadReport {
            Objects.requireNonNull(report, "report");
            Objects.requireNonNull(version, "version");
        }

        /** Creates a load report of this host. */
        public LoadReport(HostLoadReport report, ReportVersion version, boolean passOn) {
            this(report, MessageLevel.CURRENT, Optional.of(version), passOn);
        }

        /** Creates a load report of this host without a version. */
        LoadReport(HostLoadReport report) {
            this(report, MessageLevel.CURRENT, Optional.empty(), false);
        }
    }

    /**
     * Load report that has come over other hosts.
     *
     * @param ageMillis time since its host made it, as far as the hosts that passed it on have measured it
     */
    record AgedReport(HostLoadReport report, ReportVersion version, long ageMillis) {
        /** Checks that the report and the version are present. */
        public AgedReport {
            Objects.requireNonNull(report, "report");
            Objects.requireNonNull(version, "version");
        }
    }

    /**
     * Load reports of other hosts; has no response.
     *
     * @param passOn whether the receiver passes them on to the hosts of its failure domain
     */
    record ReportBundle(List<AgedReport> reports, boolean passOn) implements EntryPeerMessage {
        /** Copies the reports. */
        public ReportBundle {
            reports = List.copyOf(reports);
        }

        @Override
        public int requiredLevel() {
            return MessageLevel.REPORT_BUNDLES;
        }
    }

    /**
     * Checks that the connection carries messages, which a connection without traffic does not show.
     *
     * @param id id of the query, unique on its connection
     */
    record LinkCheck(long id) implements EntryPeerMessage {
        @Override
        public int requiredLevel() {
            return MessageLevel.REPORT_BUNDLES;
        }
    }

    /** Grants a share of the requests to a new version; has no response. */
    record RolloutGranted(RolloutGrant grant) implements EntryPeerMessage {
        /** Checks that the grant is present. */
        public RolloutGranted {
            Objects.requireNonNull(grant, "grant");
        }

        @Override
        public int requiredLevel() {
            return MessageLevel.ROLLOUTS;
        }
    }

    /** Reports the evidence of the sending host on both versions of a service; has no response. */
    record RolloutSeen(RolloutEvidence evidence) implements EntryPeerMessage {
        /** Checks that the evidence is present. */
        public RolloutSeen {
            Objects.requireNonNull(evidence, "evidence");
        }

        @Override
        public int requiredLevel() {
            return MessageLevel.ROLLOUTS;
        }
    }

    /**
     * Sends all orders of roll-outs that the sender has read to the hosts of its failure domain; has no response.
     *
     * @param host name of the sender
     * @param readAgeMillis time since the call that read them was sent, in milliseconds
     * @param finalSteps final steps of the orders that have ended, by id of the order
     */
    record RolloutOrdersTold(
            String host, long readAgeMillis, List<RolloutOrder> orders, Map<String, RolloutStep> finalSteps)
            implements EntryPeerMessage {
        /** Copies the orders. */
        public RolloutOrdersTold {
            Objects.requireNonNull(host, "host");
            orders = List.copyOf(orders);
            finalSteps = Map.copyOf(finalSteps);
        }

        @Override
        public int requiredLevel() {
            return MessageLevel.ROLLOUTS;
        }
    }

    /** Message of a newer build, of an unknown type or a later format, which is ignored. */
    record Unsupported(int type) implements EntryPeerMessage {}

    /**
     * Asks whether a configuration is still the newest; the receiver confirms it after its next read of the store.
     *
     * @param id id of the query, unique on its connection
     * @param version version of the stored object that the sender knows
     */
    record ConfigurationQuery(long id, ObjectVersion version) implements EntryPeerMessage {
        /** Checks that the version is present. */
        public ConfigurationQuery {
            Objects.requireNonNull(version, "version");
        }
    }

    /** Reports prompt parts that may crash targets; has no response. */
    record PromptParts(PromptPartReport report) implements EntryPeerMessage {
        /** Checks that the report is present. */
        public PromptParts {
            Objects.requireNonNull(report, "report");
        }
    }

    /** Announces a version of the configuration that the sender has found in the store; has no response. */
    record ConfigurationAnnounced(long version) implements EntryPeerMessage {}

    /**
     * Asks for changes of targets; the receiver responds when there are changes, or after some seconds without any.
     *
     * @param id id of the query, unique on its connection
     * @param position position in the store after which changes are reported
     */
    record TargetsQuery(long id, StorePosition position) implements EntryPeerMessage {
        /** Checks that the position is present. */
        public TargetsQuery {
            Objects.requireNonNull(position, "position");
        }
    }

    /**
     * Asks for a permit to send a request to a target that limits its request rate.
     *
     * @param id id of the query, unique on its connection
     */
    record PermitQuery(long id, PermitRequest request) implements EntryPeerMessage {
        /** Checks that the request is present. */
        public PermitQuery {
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Passes the request of a client to a host that has a path to the targets.
     *
     * @param id id of the request, unique on its connection
     * @param configurationVersion configuration by which the sender has admitted the request
     * @param executionsLeft number of targets that may execute the request
     * @param streamVersion version that began the event stream; empty if any version may serve the request, or if it is
     *     not known
     */
    record RelayRequest(
            long id,
            long configurationVersion,
            int executionsLeft,
            ClientRequest request,
            Optional<SoftwareVersion> streamVersion)
            implements EntryPeerMessage {
        /** Checks that the request and the version are present. */
        public RelayRequest {
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(streamVersion, "stream version");
        }

        @Override
        public int requiredLevel() {
            return streamVersion.isPresent() ? MessageLevel.STREAM_VERSIONS : MessageLevel.FIRST;
        }
    }

    /**
     * Tells which versions attempts go to that may bring the first event of their streams; has no response.
     *
     * @param streams streams by version
     */
    record StreamsBegun(Map<SoftwareVersion, List<StreamKey>> streams) implements EntryPeerMessage {
        /** Copies the streams. */
        public StreamsBegun {
            streams = Map.copyOf(streams);
        }

        @Override
        public int requiredLevel() {
            return MessageLevel.STREAM_VERSIONS;
        }
    }

    /**
     * Asks which version began a stream.
     *
     * @param id id of the query, unique on its connection
     */
    record StreamVersionQuery(long id, StreamKey stream) implements EntryPeerMessage {
        /** Checks that the stream is present. */
        public StreamVersionQuery {
            Objects.requireNonNull(stream, "stream");
        }

        @Override
        public int requiredLevel() {
            return MessageLevel.STREAM_VERSIONS;
        }
    }

    /**
     * Asks for all streams whose versions the sender should keep, when it has connected.
     *
     * @param id id of the query, unique on its connection
     * @param host name of the sender
     */
    record StreamsQuery(long id, String host) implements EntryPeerMessage {
        /** Checks that the host is present. */
        public StreamsQuery {
            Objects.requireNonNull(host, "host");
        }

        @Override
        public int requiredLevel() {
            return MessageLevel.STREAM_VERSIONS;
        }
    }

    /**
     * Queries the state that a starting host would otherwise read from the store.
     *
     * @param id id of the query, unique on its connection
     * @param mayWait whether a host that is still reading the store may respond once it has done so; if not, it
     *     responds at once
     */
    record StartQuery(long id, boolean mayWait) implements EntryPeerMessage {
        @Override
        public int requiredLevel() {
            return MessageLevel.START_FROM_PEERS;
        }
    }

    /**
     * Asks for a reservation of an engine.
     *
     * @param id id of the query, unique on its connection
     * @param host name of the sender
     * @param request time of the prompt and the sender's best candidates
     */
    record ReservationQuery(long id, String host, ReservationRequest request) implements EntryPeerMessage {
        /** Checks that the host and the request are present. */
        public ReservationQuery {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(request, "request");
        }

        @Override
        public int requiredLevel() {
            return MessageLevel.RESERVATIONS;
        }
    }

    /**
     * Queries the configuration; the response waits until the queried host knows this version or a newer one.
     *
     * @param id id of the query, unique on its connection
     * @param version lowest version that the sender needs
     */
    record ConfigurationFetch(long id, long version) implements EntryPeerMessage {
        @Override
        public int requiredLevel() {
            return MessageLevel.CONFIGURATION_FETCHES;
        }
    }

    /** Cancels a request that was passed on, because its client has left. */
    record RelayCancel(long id) implements EntryPeerMessage {}

    /** Response to a query. */
    sealed interface Response extends EntryPeerMessage {
        /** Returns the id of the query. */
        long id();
    }

    /**
     * Confirms that the configuration of a query is the newest.
     *
     * @param readAfterMillis time from the receipt of the query to the sending of the call that confirms it, in
     *     milliseconds, including suspensions; negative if the call was sent first
     */
    record ConfigurationConfirmed(long id, long readAfterMillis) implements Response {}

    /**
     * Reports changes of targets, in the order of the store.
     *
     * @param position position from which the next query continues; in another history than that of the query, it says
     *     that the targets must be listed anew
     */
    record TargetsChanged(long id, StorePosition position, List<StoreChange> changes) implements Response {
        /** Copies the changes. */
        public TargetsChanged {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Response with the state of the store as known to the responding host.
     *
     * @param configuration object of the configuration
     * @param targets registrations of targets; empty if the responding host does not watch them in the store itself
     * @param verdicts known verdicts on prompt parts, including those in the store; empty if these have not been read
     */
    record StartState(
            long id,
            Optional<KnownObjects> configuration,
            Optional<KnownObjects> targets,
            Optional<PromptPartReport> verdicts)
            implements Response {
        /** Checks that all parts are present. */
        public StartState {
            Objects.requireNonNull(configuration, "configuration");
            Objects.requireNonNull(targets, "targets");
            Objects.requireNonNull(verdicts, "verdicts");
        }
    }

    /**
     * Response with the object of the configuration.
     *
     * @param readAfterMillis time from the receipt of the query to the sending of the last call that confirmed the
     *     object, in milliseconds, including suspensions; negative if the call was sent before the receipt
     */
    record ConfigurationFetched(long id, StoredObject object, long readAfterMillis) implements Response {
        /** Checks that the object is present. */
        public ConfigurationFetched {
            Objects.requireNonNull(object, "object");
        }
    }

    /**
     * Objects of the store as known to a host.
     *
     * @param position position in the store from which changes follow
     * @param readAfterMillis time from the receipt of the query to the sending of the last call that confirmed the
     *     objects, in milliseconds, including suspensions; negative if the call was sent before the receipt
     */
    record KnownObjects(List<StoredObject> objects, StorePosition position, long readAfterMillis) {
        /** Copies the objects. */
        public KnownObjects {
            objects = List.copyOf(objects);
        }
    }

    /** Decision on the permit request of a query. */
    record PermitDecided(long id, PermitDecision decision) implements Response {
        /** Checks that the decision is present. */
        public PermitDecided {
            Objects.requireNonNull(decision, "decision");
        }
    }

    /**
     * Answers which version began the stream of a query.
     *
     * @param version the version; empty if the responding host does not know it
     */
    record StreamVersionAnswered(long id, Optional<SoftwareVersion> version) implements Response {
        /** Checks that the version is present. */
        public StreamVersionAnswered {
            Objects.requireNonNull(version, "version");
        }
    }

    /** Some of the streams that a query asked for, by version; several responses may follow one query. */
    record StreamsTold(long id, Map<SoftwareVersion, List<StreamKey>> streams) implements Response {
        /** Copies the streams. */
        public StreamsTold {
            streams = Map.copyOf(streams);
        }
    }

    /** Response to a request that was passed on. */
    sealed interface RelayResponse extends Response {
        /** Returns whether no further response follows. */
        boolean last();
    }

    /** The response of a target. */
    record RelayAnswered(long id, TargetResponse response) implements RelayResponse {
        @Override
        public boolean last() {
            return true;
        }
    }

    /**
     * The responding host rejects the request.
     *
     * @param anotherHost whether the reason concerns the responding host only; the request was not executed then
     */
    record RelayRejected(long id, Rejection rejection, boolean anotherHost) implements RelayResponse {
        @Override
        public boolean last() {
            return true;
        }
    }

    /**
     * A target has started an event stream.
     *
     * @param version version of that target; empty if the responding host does not tell it
     */
    record RelayStreamOpened(long id, TargetResponse head, Optional<SoftwareVersion> version) implements RelayResponse {
        /** Checks that the head and the version are present. */
        public RelayStreamOpened {
            Objects.requireNonNull(head, "head");
            Objects.requireNonNull(version, "version");
        }

        @Override
        public boolean last() {
            return false;
        }
    }

    /** Complete events of a stream. */
    record RelayEvents(long id, byte[] events) implements RelayResponse {
        @Override
        public boolean last() {
            return false;
        }
    }

    /** The stream is complete. */
    record RelayStreamEnded(long id) implements RelayResponse {
        @Override
        public boolean last() {
            return true;
        }
    }

    /** The stream was broken off. */
    record RelayAborted(long id) implements RelayResponse {
        @Override
        public boolean last() {
            return true;
        }
    }

    /**
     * Tells the {@link MessageLevel} of the responding host, when the other one has connected.
     *
     * @param id no query precedes; 0
     */
    record MessageLevelTold(long id, int messageLevel) implements Response {
        /** Creates the response of this host. */
        static MessageLevelTold ofThisHost() {
            return new MessageLevelTold(0, MessageLevel.CURRENT);
        }
    }

    /** Names the engine that was reserved for a query. */
    record EngineReserved(long id, TargetId target) implements Response {
        /** Checks that the target is present. */
        public EngineReserved {
            Objects.requireNonNull(target, "target");
        }
    }

    /** Response to a {@link LinkCheck}. */
    record LinkChecked(long id) implements Response {}

    /** States that the responding host cannot answer the query; the sender of the query has to read the store. */
    record NotKnown(long id) implements Response {}
}
