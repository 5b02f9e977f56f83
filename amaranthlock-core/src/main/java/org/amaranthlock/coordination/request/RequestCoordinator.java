package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.CompletedResponse;

/**
 * Serves client requests from arrival to the final response.
 *
 * <p>A request that continues one of another router keeps the id of the original request, which identifies its attempts
 * and its record; commands to the client carry the id of the connection that is served now. Every request ends in
 * exactly one final command to a connected client and exactly one outcome record, unless another router takes it over.
 */
public final class RequestCoordinator implements CoreComponent {
    /** Number of outcome records pending for the ledger at which requests are refused, so that no record is dropped. */
    static final int MAX_PENDING_OUTCOMES = 50_000;

    /**
     * Time for other routers to report what they hold of a reconnecting client's response. It is well below the 6 s in
     * which the output must continue, and long enough for a router under load.
     */
    static final long RECONNECT_SEARCH_TIMEOUT_MILLIS = 1_500;

    /** Time for the same search when a new request with a key arrives; its first token is due within 1.1 s. */
    static final long ARRIVAL_SEARCH_TIMEOUT_MILLIS = 300;

    /** Time after which a leaving router hands over its kept-alive requests. */
    static final long DRAIN_TIMEOUT_MILLIS = 120_000;

    private static final String OTHER_GENERATION_DETAIL =
            "The partial response is lost; start over with a new request without Last-Event-ID.";

    private static final String KEY_REUSED_DETAIL =
            "The idempotency key was used with different content; use a new key.";

    private final RequestDependencies dependencies;
    private final Dispatcher dispatcher;
    private final PauseDetector pauseDetector = new PauseDetector();
    private final Map<RequestId, OpenRequest> requests = new LinkedHashMap<>();
    private final Map<String, OpenRequest> requestByLedgerKey = new LinkedHashMap<>();
    private final Map<RequestId, OpenRequest> requestByConnection = new LinkedHashMap<>();
    private final Map<RequestId, RequestId> connectionByRequest = new HashMap<>();
    private final Map<RequestId, PendingSearch> searches = new LinkedHashMap<>();
    private long leavingSince = -1;

    /** Creates a coordinator without requests. */
    public RequestCoordinator(RequestDependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.dispatcher = new Dispatcher(dependencies);
    }

    /** Returns the number of requests that are not closed, including those whose state is being searched for. */
    public int openRequestCount() {
        return requests.size() + searches.size();
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> out = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> tick(nowMillis, out);
            case RequestEvent.Arrived arrived -> onArrived(arrived, nowMillis, out);
            case RequestEvent.ClientDisconnected disconnected ->
                onClientDisconnected(disconnected.request(), nowMillis, out);
            case RequestEvent.CheckpointSearchCompleted completed ->
                onCheckpointSearchCompleted(completed, nowMillis, out);
            case RequestEvent.CompletedResponseFound found -> onCompletedResponseFound(found, nowMillis, out);
            case RequestEvent.ClaimDecided decided -> {
                if (requests.get(decided.request()) instanceof AtMostOnceRequest request) {
                    request.onClaimDecided(decided.result(), nowMillis, out);
                    updateIndexes(request);
                }
            }
            case RequestEvent.AdmissionGranted granted ->
                withRequest(granted.request(), request -> request.onAdmissionGranted(nowMillis, out));
            case RequestEvent.TakenOver takenOver ->
                withRequest(takenOver.request(), request -> request.onTakenOver(nowMillis, out));
            case RequestEvent.AttemptEvent attemptEvent ->
                withRequest(attemptEvent.request(), request -> request.onAttemptEvent(attemptEvent, nowMillis, out));
            case TargetEvent.Reachable reachable -> dispatcher.onTargetReachable(reachable.target());
            case TargetEvent.Unreachable unreachable ->
                dispatcher.onTargetUnreachable(unreachable.target(), nowMillis, out);
            default -> {}
        }
        return out;
    }

    private void withRequest(RequestId id, Consumer<OpenRequest> action) {
        OpenRequest request = requests.get(id);
        if (request != null) {
            action.accept(request);
            updateIndexes(request);
        }
    }

    /** Updates the lookup tables after a change of a request. */
    private void updateIndexes(OpenRequest request) {
        RequestId id = request.spec().id();
        Optional<RequestId> served = request.closed() ? Optional.empty() : request.connection();
        RequestId before = connectionByRequest.get(id);
        if (before != null && !served.equals(Optional.of(before))) {
            connectionByRequest.remove(id);
            requestByConnection.remove(before, request);
        }
        served.ifPresent(connection -> {
            connectionByRequest.put(id, connection);
            requestByConnection.put(connection, request);
        });
        if (request.closed()) {
            requests.remove(id, request);
            requestByLedgerKey.remove(request.spec().ledgerKey(), request);
            return;
        }
        requests.put(id, request);
        requestByLedgerKey.put(request.spec().ledgerKey(), request);
    }

    private void onArrived(RequestEvent.Arrived arrived, long now, List<Command> out) {
        RequestSpec spec = arrived.spec();
        OpenRequest existing = requestByLedgerKey.get(spec.ledgerKey());
        if (existing != null && canJoin(spec, existing)) {
            join(arrived, existing, now, out);
        } else if (requests.containsKey(spec.id()) || searches.containsKey(spec.id())) {
            sendRefusal(
                    spec, ErrorCode.REQUEST_IN_PROGRESS, ExecutionStatus.UNKNOWN, "The request is in progress.", out);
        } else if (dependencies.membership().isLeaving()) {
            refuseAndRecord(
                    arrived, ErrorCode.DRAINING, "This router is shutting down; connect to another one.", now, out);
        } else if (dependencies.ledger().pendingOutcomeCount() >= MAX_PENDING_OUTCOMES) {
            refuseAndRecord(
                    arrived,
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "Too many outcome records are pending for the platform; send the request again later.",
                    now,
                    out);
        } else if (spec.work() instanceof Work.Generation
                && arrived.resumeIndex().isPresent()
                && !isKeptAlive(spec)) {
            // Only kept-alive generations have checkpoints, so no router can resume this one.
            refuseResume(new PendingSearch(arrived, now), out);
        } else if (spec.work() instanceof Work.Generation && requiresSearch(arrived)) {
            search(new PendingSearch(arrived, now), now, out);
        } else {
            startRequest(createRequest(spec, Optional.of(spec.id()), now), now, out);
        }
    }

    /** A retry by key may find a kept-alive generation open on another router; other work has no tokens to find. */
    private static boolean requiresSearch(RequestEvent.Arrived arrived) {
        boolean keyed = arrived.spec().key().isPresent();
        return isKeptAlive(arrived.spec()) && (keyed || arrived.resumeIndex().isPresent());
    }

    private static boolean isKeptAlive(RequestSpec spec) {
        return spec.profile().kind() != ProfileKind.RETRIABLE;
    }

    /** Returns whether a client can join an existing request; a retriable service call is executed again instead. */
    private static boolean canJoin(RequestSpec spec, OpenRequest existing) {
        boolean sameRequest =
                spec.key().isPresent() || spec.id().equals(existing.spec().id());
        return sameRequest && !(existing instanceof ServiceRequest);
    }

    private void join(RequestEvent.Arrived arrived, OpenRequest existing, long now, List<Command> out) {
        RequestSpec spec = arrived.spec();
        if (spec.fingerprint() != existing.spec().fingerprint()) {
            refuseAndRecord(arrived, ErrorCode.KEY_REUSED, KEY_REUSED_DETAIL, now, out);
            return;
        }
        if (isForOtherGeneration(arrived, existing.spec().id())) {
            sendRefusal(spec, ErrorCode.RESUME_UNAVAILABLE, statusKnownToClient(arrived), OTHER_GENERATION_DETAIL, out);
            return;
        }
        if (existing instanceof GenerationRequest generation) {
            generation.onClientReconnected(spec.id(), arrived.resumeIndex().orElse(0), now, out);
        } else if (existing instanceof AtMostOnceRequest atMostOnce) {
            if (atMostOnce.connection().isPresent()) {
                refuseInProgress(spec, atMostOnce, now, out);
            } else {
                atMostOnce.onClientReconnected(spec.id());
            }
        }
        updateIndexes(existing);
    }

    private void refuseInProgress(RequestSpec spec, AtMostOnceRequest atMostOnce, long now, List<Command> out) {
        String detail = "A request with this key is in progress; send it again later to get its outcome.";
        sendRefusal(spec, ErrorCode.REQUEST_IN_PROGRESS, ExecutionStatus.UNKNOWN, detail, out);
        if (!spec.id().equals(atMostOnce.spec().id())) {
            UnservedRequestRecorder.close(
                    dependencies, spec, ErrorCode.REQUEST_IN_PROGRESS, ExecutionStatus.UNKNOWN, now, out);
        }
    }

    private void refuseAndRecord(
            RequestEvent.Arrived arrived, ErrorCode code, String detail, long now, List<Command> out) {
        RequestSpec spec = arrived.spec();
        if (arrived.resumeIndex().isPresent()) {
            // The request started on another router, and its owner or backup router writes its record.
            sendRefusal(spec, code, statusKnownToClient(arrived), detail, out);
        } else {
            sendRefusal(spec, code, RequestLifecycle.statusBeforeLedger(spec), detail, out);
            UnservedRequestRecorder.close(dependencies, spec, code, ExecutionStatus.NOT_RUN, now, out);
        }
    }

    /**
     * Returns whether a reconnecting client holds tokens of a request other than the existing one with its key.
     *
     * <p>Both exist if a paused or partitioned router started the request after its client had gone to another router.
     */
    private static boolean isForOtherGeneration(RequestEvent.Arrived arrived, RequestId existing) {
        return arrived.resumeIndex().orElse(0) > 0 && !arrived.spec().id().equals(existing);
    }

    /** Returns RAN for a client that states a token position, since it has seen output; otherwise UNKNOWN. */
    private static ExecutionStatus statusKnownToClient(RequestEvent.Arrived arrived) {
        return arrived.resumeIndex().orElse(0) > 0 ? ExecutionStatus.RAN : ExecutionStatus.UNKNOWN;
    }

    private static void sendRefusal(
            RequestSpec spec, ErrorCode code, ExecutionStatus executionStatus, String detail, List<Command> out) {
        boolean retryHelps = code != ErrorCode.KEY_REUSED && code != ErrorCode.RESUME_UNAVAILABLE;
        OptionalLong retryAfter =
                retryHelps ? OptionalLong.of(RequestLifecycle.DEFAULT_RETRY_AFTER_MILLIS) : OptionalLong.empty();
        out.add(new RequestCommand.Refuse(spec.id(), new Refusal(code, executionStatus, detail, retryAfter)));
        out.add(RequestTrace.refused(spec.id(), code, executionStatus));
    }

    private void startRequest(OpenRequest request, long now, List<Command> out) {
        requests.put(request.spec().id(), request);
        requestByLedgerKey.putIfAbsent(request.spec().ledgerKey(), request);
        request.start(now, out);
        updateIndexes(request);
    }

    private OpenRequest createRequest(RequestSpec spec, Optional<RequestId> connection, long now) {
        if (spec.work() instanceof Work.Generation) {
            return new GenerationRequest(dependencies, dispatcher, spec, connection, now);
        }
        if (spec.profile().kind() == ProfileKind.AT_MOST_ONCE) {
            return new AtMostOnceRequest(dependencies, dispatcher, pauseDetector, spec);
        }
        return new ServiceRequest(dependencies, dispatcher, spec);
    }

    private void search(PendingSearch search, long now, List<Command> out) {
        RequestEvent.Arrived arrived = search.arrived;
        searches.put(arrived.request(), search);
        long timeout =
                arrived.resumeIndex().isPresent() ? RECONNECT_SEARCH_TIMEOUT_MILLIS : ARRIVAL_SEARCH_TIMEOUT_MILLIS;
        out.addAll(dependencies
                .checkpoints()
                .search(arrived.spec(), arrived.resumeIndex().orElse(0), timeout, now));
    }

    private void onCheckpointSearchCompleted(
            RequestEvent.CheckpointSearchCompleted completed, long now, List<Command> out) {
        PendingSearch search = searches.remove(completed.request());
        if (search == null) {
            return;
        }
        RequestSpec spec = search.arrived.spec();
        Optional<RequestId> connection = search.clientDisconnected ? Optional.empty() : Optional.of(spec.id());
        OpenRequest existing = requestByLedgerKey.get(spec.ledgerKey());
        if (existing instanceof GenerationRequest && canJoin(spec, existing)) {
            if (!search.clientDisconnected) {
                join(search.arrived, existing, now, out);
            }
            return;
        }
        if (completed.checkpoint().isEmpty() && (search.arrived.resumeIndex().isPresent() || !completed.conclusive())) {
            // A new request normally has no checkpoint, so its conclusive absence is not traced.
            out.add(RequestTrace.checkpointMissing(spec, completed.conclusive()));
        }
        if (completed.checkpoint().isPresent()) {
            takeOver(search, completed.checkpoint().get(), connection, now, out);
        } else if (!completed.conclusive() && pauseDetector.pausedSince(search.startedAt, now)) {
            // Replies are still queued behind the pause, and so may be the event that the client has disconnected.
            search(new PendingSearch(search, now), now, out);
        } else if (search.arrived.resumeIndex().isPresent() && !completed.conclusive()) {
            refuseInconclusiveSearch(search, out);
        } else if (search.arrived.resumeIndex().isPresent()) {
            refuseResume(search, out);
        } else if (search.clientDisconnected) {
            UnservedRequestRecorder.abandon(dependencies, spec, ExecutionStatus.NOT_RUN, now, out);
        } else {
            startRequest(createRequest(spec, connection, now), now, out);
        }
    }

    /** Sends a client the rest of a completed response, whose outcome record exists already. */
    private void onCompletedResponseFound(RequestEvent.CompletedResponseFound found, long now, List<Command> out) {
        PendingSearch search = searches.remove(found.request());
        if (search == null || search.clientDisconnected) {
            return;
        }
        RequestSpec spec = search.arrived.spec();
        CompletedResponse response = found.response();
        int position = search.arrived.resumeIndex().orElse(0);
        int size = response.tokens().size();
        if (response.fingerprint() != spec.fingerprint()) {
            refuseAndRecord(search.arrived, ErrorCode.KEY_REUSED, KEY_REUSED_DETAIL, now, out);
        } else if (isForOtherGeneration(search.arrived, response.record().request())) {
            sendRefusal(spec, ErrorCode.RESUME_UNAVAILABLE, ExecutionStatus.RAN, OTHER_GENERATION_DETAIL, out);
        } else if (position > size) {
            String detail = "The response ended before the position in Last-Event-ID; start over with a new request.";
            sendRefusal(spec, ErrorCode.RESUME_UNAVAILABLE, ExecutionStatus.RAN, detail, out);
        } else {
            if (position < size) {
                List<String> rest = response.tokens().subList(position, size);
                RequestId request = response.record().request();
                out.add(new RequestCommand.DeliverTokens(spec.id(), request, position, rest));
            }
            out.add(new RequestCommand.CompleteStream(spec.id(), response.reason(), response.record()));
            out.add(RequestTrace.resumedFromCompletedResponse(response.record().request(), position));
        }
    }

    private void takeOver(
            PendingSearch search, Checkpoint checkpoint, Optional<RequestId> connection, long now, List<Command> out) {
        RequestSpec spec = search.arrived.spec();
        Optional<RequestId> served = connection;
        if (isForOtherGeneration(search.arrived, checkpoint.spec().id())) {
            served = Optional.empty();
            connection.ifPresent(id -> sendRefusal(
                    spec,
                    ErrorCode.RESUME_UNAVAILABLE,
                    statusKnownToClient(search.arrived),
                    OTHER_GENERATION_DETAIL,
                    out));
        } else if (checkpoint.spec().fingerprint() != spec.fingerprint()) {
            // This router owns the state now, so the request stays open for the client that sent it.
            served = Optional.empty();
            connection.ifPresent(
                    id -> refuseAndRecord(search.arrived, ErrorCode.KEY_REUSED, KEY_REUSED_DETAIL, now, out));
        }
        // The deadline in the checkpoint refers to the clock of the former owner.
        RequestSpec continued = checkpoint.spec().withDeadline(spec.deadlineMillis());
        GenerationRequest request = new GenerationRequest(dependencies, dispatcher, continued, served, now);
        int resumeAt = served.isPresent() ? search.arrived.resumeIndex().orElse(0) : 0;
        request.resumeFrom(checkpoint, resumeAt, now, out);
        updateIndexes(request);
    }

    /** Asks the client to retry shortly, since a router that did not reply may still hold the request. */
    private void refuseInconclusiveSearch(PendingSearch search, List<Command> out) {
        if (!search.clientDisconnected) {
            String detail = "A router that may hold the response does not reply; reconnect later for the rest.";
            RequestSpec spec = search.arrived.spec();
            sendRefusal(spec, ErrorCode.REQUEST_IN_PROGRESS, statusKnownToClient(search.arrived), detail, out);
        }
    }

    /**
     * Refuses to resume, without a record.
     *
     * <p>The id is the one that the client stated, and the owner or backup router of a request of that id records it.
     */
    private static void refuseResume(PendingSearch search, List<Command> out) {
        if (!search.clientDisconnected) {
            String detail =
                    "No router holds the response any more; read its outcome record or start over with a new request.";
            RequestSpec spec = search.arrived.spec();
            sendRefusal(spec, ErrorCode.RESUME_UNAVAILABLE, statusKnownToClient(search.arrived), detail, out);
        }
    }

    private void onClientDisconnected(RequestId connection, long now, List<Command> out) {
        PendingSearch search = searches.get(connection);
        if (search != null) {
            search.clientDisconnected = true;
            return;
        }
        OpenRequest request = requestByConnection.get(connection);
        if (request != null) {
            request.onClientDisconnected(now, out);
            updateIndexes(request);
        }
    }

    private void tick(long now, List<Command> out) {
        boolean paused = pauseDetector.recordTick(now);
        dispatcher.tick(now);
        for (RequestId expired : dependencies.admission().removeExpired(now)) {
            withRequest(expired, request -> request.onQueueTimeout(now, out));
        }
        detectStalls(paused, now, out);
        for (OpenRequest request : List.copyOf(requests.values())) {
            if (!request.closed()) {
                request.onTick(now, out);
                updateIndexes(request);
            }
        }
        drain(now, out);
    }

    private void detectStalls(boolean paused, long now, List<Command> out) {
        Map<ActiveStream, GenerationRequest> streams = new LinkedHashMap<>();
        for (OpenRequest request : requests.values()) {
            if (request instanceof GenerationRequest generation) {
                generation.stream().ifPresent(stream -> streams.put(stream, generation));
            }
        }
        if (paused) {
            streams.keySet().forEach(stream -> stream.resetProgressTime(now));
        }
        for (ActiveStream stalled : StallDetector.findStalled(List.copyOf(streams.keySet()), now)) {
            GenerationRequest generation = streams.get(stalled);
            generation.abandonAttempt(stalled, "the stream made no progress", now, out);
            updateIndexes(generation);
        }
        streams.values().forEach(generation -> generation.migrateIfSlow(now, out));
    }

    private void drain(long now, List<Command> out) {
        if (!dependencies.membership().isLeaving()) {
            leavingSince = -1;
            return;
        }
        if (leavingSince < 0) {
            leavingSince = now;
        }
        if (now - leavingSince < DRAIN_TIMEOUT_MILLIS) {
            return;
        }
        for (OpenRequest request : List.copyOf(requests.values())) {
            if (request instanceof GenerationRequest && request.isKeptAlive()) {
                out.addAll(dependencies.checkpoints().flush(request, now));
                request.onTakenOver(now, out);
                updateIndexes(request);
            }
        }
    }

    /** Search whose result a request that has arrived awaits. */
    private static final class PendingSearch {
        private final RequestEvent.Arrived arrived;
        private final long startedAt;
        private boolean clientDisconnected;

        PendingSearch(RequestEvent.Arrived arrived, long startedAt) {
            this.arrived = arrived;
            this.startedAt = startedAt;
        }

        /** Creates the retry of a search. */
        PendingSearch(PendingSearch former, long startedAt) {
            this(former.arrived, startedAt);
            this.clientDisconnected = former.clientDisconnected;
        }
    }
}
