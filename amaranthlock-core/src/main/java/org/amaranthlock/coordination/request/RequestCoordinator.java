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
 * Serves the callers' requests from arrival to the final answer.
 *
 * <p>A request that continues one of another router keeps the id of the first, which names its attempts and its record;
 * commands to the caller carry the id of the connection that is served now. Every request ends in exactly one final
 * command to a connected caller and exactly one outcome record, except when another router takes it over.
 */
public final class RequestCoordinator implements CoreComponent {
    /** Records waiting for the ledger above which no request is admitted, so that none has to be dropped. */
    static final int MAX_PENDING_OUTCOMES = 50_000;

    /**
     * Time for routers to tell what they hold of a returning caller's answer. It is well below the 6 s in which output
     * must go on, and long enough for a router under load.
     */
    static final long RETURN_SEARCH_MILLIS = 1_500;

    /** Time for the same search when a new request with a key arrives, whose first token is due within 1.1 s. */
    static final long ARRIVAL_SEARCH_MILLIS = 300;

    /** Time after which a leaving router hands its kept-alive requests over. */
    static final long DRAIN_MILLIS = 120_000;

    private static final String ANOTHER_ANSWER =
            "The answer that was begun is lost; send the request anew without Last-Event-ID.";

    private static final String KEY_REUSED_DETAIL = "The idempotency key was used with another content; use a new key.";

    private final RequestDependencies services;
    private final Dispatcher dispatcher;
    private final PauseDetector pauses = new PauseDetector();
    private final Map<RequestId, OpenRequest> requests = new LinkedHashMap<>();
    private final Map<String, OpenRequest> byLedgerKey = new LinkedHashMap<>();
    private final Map<RequestId, OpenRequest> byConnection = new LinkedHashMap<>();
    private final Map<RequestId, RequestId> connectionOf = new HashMap<>();
    private final Map<RequestId, Search> searches = new LinkedHashMap<>();
    private long leavingSince = -1;

    /** Creates a coordinator without requests. */
    public RequestCoordinator(RequestDependencies services) {
        this.services = Objects.requireNonNull(services, "services");
        this.dispatcher = new Dispatcher(services);
    }

    /** Returns the number of requests that are not closed. */
    public int openRequests() {
        return requests.size() + searches.size();
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> out = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> tick(nowMillis, out);
            case RequestEvent.Arrived arrived -> arrived(arrived, nowMillis, out);
            case RequestEvent.ClientDisconnected gone -> callerGone(gone.request(), nowMillis, out);
            case RequestEvent.CheckpointFound found -> searched(found, nowMillis, out);
            case RequestEvent.CompletedResponseFound found -> answerFound(found, nowMillis, out);
            case RequestEvent.ClaimDecided decided -> {
                if (requests.get(decided.request()) instanceof AtMostOnceRequest request) {
                    request.onClaimDecided(decided.result(), nowMillis, out);
                    settle(request);
                }
            }
            case RequestEvent.AdmissionGranted released ->
                with(released.request(), request -> request.onAdmissionGranted(nowMillis, out));
            case RequestEvent.TakenOver taken -> with(taken.request(), request -> request.onTakenOver(nowMillis, out));
            case RequestEvent.AttemptEvent ofAttempt ->
                with(ofAttempt.request(), request -> request.onAttemptEvent(ofAttempt, nowMillis, out));
            case TargetEvent.Reachable reachable -> dispatcher.onTargetReachable(reachable.target());
            case TargetEvent.Unreachable unreachable ->
                dispatcher.onTargetUnreachable(unreachable.target(), nowMillis, out);
            default -> {}
        }
        return out;
    }

    private void with(RequestId id, Consumer<OpenRequest> action) {
        OpenRequest request = requests.get(id);
        if (request != null) {
            action.accept(request);
            settle(request);
        }
    }

    /** Brings the tables up to date after a change of a request. */
    private void settle(OpenRequest request) {
        RequestId id = request.spec().id();
        Optional<RequestId> served = request.closed() ? Optional.empty() : request.connection();
        RequestId before = connectionOf.get(id);
        if (before != null && !served.equals(Optional.of(before))) {
            connectionOf.remove(id);
            byConnection.remove(before, request);
        }
        served.ifPresent(connection -> {
            connectionOf.put(id, connection);
            byConnection.put(connection, request);
        });
        if (request.closed()) {
            requests.remove(id, request);
            byLedgerKey.remove(request.spec().ledgerKey(), request);
            return;
        }
        requests.put(id, request);
        byLedgerKey.put(request.spec().ledgerKey(), request);
    }

    private void arrived(RequestEvent.Arrived arrived, long now, List<Command> out) {
        RequestSpec spec = arrived.spec();
        OpenRequest present = byLedgerKey.get(spec.ledgerKey());
        if (present != null && joins(spec, present)) {
            join(arrived, present, now, out);
        } else if (requests.containsKey(spec.id()) || searches.containsKey(spec.id())) {
            refuse(spec, ErrorCode.REQUEST_IN_PROGRESS, ExecutionStatus.UNKNOWN, "The request is in progress.", out);
        } else if (services.membership().isLeaving()) {
            reject(arrived, ErrorCode.DRAINING, "This router shuts down; connect to another one.", now, out);
        } else if (services.ledger().pendingOutcomeCount() >= MAX_PENDING_OUTCOMES) {
            reject(arrived, ErrorCode.PLATFORM_UNAVAILABLE, "Outcome records wait for the platform.", now, out);
        } else if (spec.work() instanceof Work.Generation
                && arrived.resumeIndex().isPresent()
                && !keptAlive(spec)) {
            // Only kept-alive answers have checkpoints, so no other router can go on with this one.
            resumeUnavailable(new Search(arrived, now), out);
        } else if (spec.work() instanceof Work.Generation && searchable(arrived)) {
            search(new Search(arrived, now), now, out);
        } else {
            begin(create(spec, Optional.of(spec.id()), now), now, out);
        }
    }

    /** A repeat by key may find a kept-alive generation that is open elsewhere; other work has no tokens to find. */
    private static boolean searchable(RequestEvent.Arrived arrived) {
        boolean keyed = arrived.spec().key().isPresent();
        return keptAlive(arrived.spec()) && (keyed || arrived.resumeIndex().isPresent());
    }

    private static boolean keptAlive(RequestSpec spec) {
        return spec.profile().kind() != ProfileKind.RETRIABLE;
    }

    private static boolean joins(RequestSpec spec, OpenRequest present) {
        boolean repeat =
                spec.key().isPresent() || spec.id().equals(present.spec().id());
        return repeat && !(present instanceof ServiceRequest);
    }

    private void join(RequestEvent.Arrived arrived, OpenRequest present, long now, List<Command> out) {
        RequestSpec spec = arrived.spec();
        if (spec.fingerprint() != present.spec().fingerprint()) {
            reject(arrived, ErrorCode.KEY_REUSED, KEY_REUSED_DETAIL, now, out);
            return;
        }
        if (ofAnotherAnswer(arrived, present.spec().id())) {
            refuse(spec, ErrorCode.RESUME_UNAVAILABLE, fateSeenBy(arrived), ANOTHER_ANSWER, out);
            return;
        }
        if (present instanceof GenerationRequest generation) {
            generation.onClientReconnected(spec.id(), arrived.resumeIndex().orElse(0), now, out);
        } else if (present instanceof AtMostOnceRequest order) {
            if (order.connection().isPresent()) {
                inProgress(spec, order, now, out);
            } else {
                order.onClientReconnected(spec.id());
            }
        }
        settle(present);
    }

    private void inProgress(RequestSpec spec, AtMostOnceRequest order, long now, List<Command> out) {
        String detail = "A request with this key is in progress; repeat it later for its outcome.";
        refuse(spec, ErrorCode.REQUEST_IN_PROGRESS, ExecutionStatus.UNKNOWN, detail, out);
        if (!spec.id().equals(order.spec().id())) {
            UnservedRequestRecorder.close(
                    services, spec, ErrorCode.REQUEST_IN_PROGRESS, ExecutionStatus.UNKNOWN, now, out);
        }
    }

    private void reject(RequestEvent.Arrived arrived, ErrorCode code, String detail, long now, List<Command> out) {
        RequestSpec spec = arrived.spec();
        if (arrived.resumeIndex().isPresent()) {
            // The request began elsewhere, and its owner or keeper writes its record.
            refuse(spec, code, fateSeenBy(arrived), detail, out);
        } else {
            refuse(spec, code, RequestLifecycle.statusBeforeLedger(spec), detail, out);
            UnservedRequestRecorder.close(services, spec, code, ExecutionStatus.NOT_RUN, now, out);
        }
    }

    /**
     * Tells whether a returning caller holds tokens of a request other than the one with its key. Both exist when a
     * paused or cut-off router began the request that its caller had taken elsewhere.
     */
    private static boolean ofAnotherAnswer(RequestEvent.Arrived arrived, RequestId present) {
        return arrived.resumeIndex().orElse(0) > 0 && !arrived.spec().id().equals(present);
    }

    /** A caller that names a token has seen output; without one nothing is known of the execution. */
    private static ExecutionStatus fateSeenBy(RequestEvent.Arrived arrived) {
        return arrived.resumeIndex().orElse(0) > 0 ? ExecutionStatus.RAN : ExecutionStatus.UNKNOWN;
    }

    private static void refuse(
            RequestSpec spec, ErrorCode code, ExecutionStatus fate, String detail, List<Command> out) {
        boolean repeatHelps = code != ErrorCode.KEY_REUSED && code != ErrorCode.RESUME_UNAVAILABLE;
        OptionalLong retryAfter =
                repeatHelps ? OptionalLong.of(RequestLifecycle.RETRY_AFTER_MILLIS) : OptionalLong.empty();
        out.add(new RequestCommand.Refuse(spec.id(), new Refusal(code, fate, detail, retryAfter)));
        out.add(RequestTrace.refused(spec.id(), code, fate));
    }

    private void begin(OpenRequest request, long now, List<Command> out) {
        requests.put(request.spec().id(), request);
        byLedgerKey.putIfAbsent(request.spec().ledgerKey(), request);
        request.start(now, out);
        settle(request);
    }

    private OpenRequest create(RequestSpec spec, Optional<RequestId> connection, long now) {
        if (spec.work() instanceof Work.Generation) {
            return new GenerationRequest(services, dispatcher, spec, connection, now);
        }
        if (spec.profile().kind() == ProfileKind.AT_MOST_ONCE) {
            return new AtMostOnceRequest(services, dispatcher, pauses, spec);
        }
        return new ServiceRequest(services, dispatcher, spec);
    }

    private void search(Search search, long now, List<Command> out) {
        RequestEvent.Arrived arrived = search.arrived;
        searches.put(arrived.request(), search);
        long timeout = arrived.resumeIndex().isPresent() ? RETURN_SEARCH_MILLIS : ARRIVAL_SEARCH_MILLIS;
        out.addAll(services.checkpoints()
                .search(arrived.spec(), arrived.resumeIndex().orElse(0), timeout, now));
    }

    private void searched(RequestEvent.CheckpointFound found, long now, List<Command> out) {
        Search search = searches.remove(found.request());
        if (search == null) {
            return;
        }
        RequestSpec spec = search.arrived.spec();
        Optional<RequestId> connection = search.gone ? Optional.empty() : Optional.of(spec.id());
        OpenRequest present = byLedgerKey.get(spec.ledgerKey());
        if (present instanceof GenerationRequest && joins(spec, present)) {
            if (!search.gone) {
                join(search.arrived, present, now, out);
            }
            return;
        }
        if (found.checkpoint().isEmpty() && (search.arrived.resumeIndex().isPresent() || !found.conclusive())) {
            // A new request normally has no checkpoint, so only an absence that matters is told.
            out.add(RequestTrace.checkpointMissing(spec, found.conclusive()));
        }
        if (found.checkpoint().isPresent()) {
            takeOver(search, found.checkpoint().get(), connection, now, out);
        } else if (!found.conclusive() && pauses.pausedSince(search.startedAt, now)) {
            // The answers wait behind the pause, and so may the news that the caller has gone elsewhere.
            search(new Search(search, now), now, out);
        } else if (search.arrived.resumeIndex().isPresent() && !found.conclusive()) {
            searchAgain(search, out);
        } else if (search.arrived.resumeIndex().isPresent()) {
            resumeUnavailable(search, out);
        } else if (search.gone) {
            UnservedRequestRecorder.abandon(services, spec, ExecutionStatus.NOT_RUN, now, out);
        } else {
            begin(create(spec, connection, now), now, out);
        }
    }

    /** Gives a caller the rest of an answer that is complete and has its record already. */
    private void answerFound(RequestEvent.CompletedResponseFound found, long now, List<Command> out) {
        Search search = searches.remove(found.request());
        if (search == null || search.gone) {
            return;
        }
        RequestSpec spec = search.arrived.spec();
        CompletedResponse answer = found.response();
        int position = search.arrived.resumeIndex().orElse(0);
        int size = answer.tokens().size();
        if (answer.fingerprint() != spec.fingerprint()) {
            reject(search.arrived, ErrorCode.KEY_REUSED, KEY_REUSED_DETAIL, now, out);
        } else if (ofAnotherAnswer(search.arrived, answer.record().request())) {
            refuse(spec, ErrorCode.RESUME_UNAVAILABLE, ExecutionStatus.RAN, ANOTHER_ANSWER, out);
        } else if (position > size) {
            String detail = "The answer ended before the position in Last-Event-ID; send the request anew.";
            refuse(spec, ErrorCode.RESUME_UNAVAILABLE, ExecutionStatus.RAN, detail, out);
        } else {
            if (position < size) {
                List<String> rest = answer.tokens().subList(position, size);
                RequestId request = answer.record().request();
                out.add(new RequestCommand.DeliverTokens(spec.id(), request, position, rest));
            }
            out.add(new RequestCommand.CompleteStream(spec.id(), answer.reason(), answer.record()));
            out.add(RequestTrace.resumedFromCompletedAnswer(answer.record().request(), position));
        }
    }

    private void takeOver(
            Search search, Checkpoint checkpoint, Optional<RequestId> connection, long now, List<Command> out) {
        RequestSpec spec = search.arrived.spec();
        Optional<RequestId> served = connection;
        if (ofAnotherAnswer(search.arrived, checkpoint.spec().id())) {
            served = Optional.empty();
            connection.ifPresent(
                    id -> refuse(spec, ErrorCode.RESUME_UNAVAILABLE, fateSeenBy(search.arrived), ANOTHER_ANSWER, out));
        } else if (checkpoint.spec().fingerprint() != spec.fingerprint()) {
            // The state is this router's now, so the request is kept open for its true caller.
            served = Optional.empty();
            connection.ifPresent(id -> reject(search.arrived, ErrorCode.KEY_REUSED, KEY_REUSED_DETAIL, now, out));
        }
        // The deadline in the checkpoint is a time of the former owner's clock.
        RequestSpec continued = checkpoint.spec().withDeadline(spec.deadlineMillis());
        GenerationRequest request = new GenerationRequest(services, dispatcher, continued, served, now);
        int resumeAt = served.isPresent() ? search.arrived.resumeIndex().orElse(0) : 0;
        request.resumeFrom(checkpoint, resumeAt, now, out);
        settle(request);
    }

    /** Sends the caller away for a moment; the request is still open at a router that did not answer. */
    private void searchAgain(Search search, List<Command> out) {
        if (!search.gone) {
            String detail = "A router that may hold the answer does not respond; come back for the rest.";
            RequestSpec spec = search.arrived.spec();
            refuse(spec, ErrorCode.REQUEST_IN_PROGRESS, fateSeenBy(search.arrived), detail, out);
        }
    }

    /** Writes no record: the id is what the caller says, and a request of that id has its owner or keeper. */
    private static void resumeUnavailable(Search search, List<Command> out) {
        if (!search.gone) {
            String detail = "No router holds the answer any more; read its outcome record or send the request anew.";
            RequestSpec spec = search.arrived.spec();
            refuse(spec, ErrorCode.RESUME_UNAVAILABLE, fateSeenBy(search.arrived), detail, out);
        }
    }

    private void callerGone(RequestId connection, long now, List<Command> out) {
        Search search = searches.get(connection);
        if (search != null) {
            search.gone = true;
            return;
        }
        OpenRequest request = byConnection.get(connection);
        if (request != null) {
            request.onClientDisconnected(now, out);
            settle(request);
        }
    }

    private void tick(long now, List<Command> out) {
        boolean paused = pauses.recordTick(now);
        dispatcher.tick(now);
        for (RequestId expired : services.admission().removeExpired(now)) {
            with(expired, request -> request.onQueueTimeout(now, out));
        }
        detectStalls(paused, now, out);
        for (OpenRequest request : List.copyOf(requests.values())) {
            if (!request.closed()) {
                request.onTick(now, out);
                settle(request);
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
            streams.keySet().forEach(stream -> stream.resetSilence(now));
        }
        for (ActiveStream stalled : StallDetector.findStalled(List.copyOf(streams.keySet()), now)) {
            GenerationRequest generation = streams.get(stalled);
            generation.abandonAttempt(stalled, "the stream made no progress", now, out);
            settle(generation);
        }
        streams.values().forEach(generation -> generation.migrateIfSlow(now, out));
    }

    private void drain(long now, List<Command> out) {
        if (!services.membership().isLeaving()) {
            leavingSince = -1;
            return;
        }
        if (leavingSince < 0) {
            leavingSince = now;
        }
        if (now - leavingSince < DRAIN_MILLIS) {
            return;
        }
        for (OpenRequest request : List.copyOf(requests.values())) {
            if (request instanceof GenerationRequest && request.isKeptAlive()) {
                out.addAll(services.checkpoints().flush(request, now));
                request.onTakenOver(now, out);
                settle(request);
            }
        }
    }

    private static final class Search {
        private final RequestEvent.Arrived arrived;
        private final long startedAt;
        private boolean gone;

        Search(RequestEvent.Arrived arrived, long startedAt) {
            this.arrived = arrived;
            this.startedAt = startedAt;
        }

        /** Repeats a search. */
        Search(Search former, long startedAt) {
            this(former.arrived, startedAt);
            this.gone = former.gone;
        }
    }
}
