package org.amaranthlock.faults;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.ledger.LedgerPartitions;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Work;
import org.amaranthlock.simulation.SimulatedRouterProcess;

/** Client that checks its response and reconnects to another router when the connection ends or becomes silent. */
final class SimulatedClient {
    /** Clients wait for at most a few seconds without progress before they reconnect to another router. */
    static final long SILENCE_TIMEOUT_MILLIS = 2_500;

    private static final long RECONNECT_DELAY_MILLIS = 100;
    private static final long RETRY_DELAY_MILLIS = 400;
    private static final int MAX_CONNECTIONS = 40;
    /** Refusals after which a client retries its request, as their Retry-After header allows. */
    private static final Set<ErrorCode> RETRIABLE_CODES =
            Set.of(ErrorCode.DRAINING, ErrorCode.REQUEST_IN_PROGRESS, ErrorCode.PLATFORM_UNAVAILABLE);

    /** Refusal that the client received on one of its connections. */
    record ReceivedRefusal(RequestId connection, Refusal refusal, long atMillis) {}

    final List<ReceivedRefusal> refusals = new ArrayList<>();
    final List<RequestId> requestIds = new ArrayList<>();
    private final Cluster cluster;
    private final ServiceName service;
    private final Profile profile;
    private final AccountId account;
    private final Optional<IdempotencyKey> idempotencyKey;
    private final Work work;
    private final long fingerprint;
    private final List<String> tokens = new ArrayList<>();
    private SimulatedRouterProcess router;
    private RequestId connection;
    private RequestId streamId;
    private RequestSpec lastSpec;
    private boolean connecting;
    private int connectionCount;
    private int interruptionCount;
    private long startedAt;
    private long waitingSince;
    private long lastProgressAt;
    private long longestGapMillis;
    private long finishedAt = -1;
    private Optional<ExecutionStatus> executionStatus = Optional.empty();
    private Optional<ErrorCode> errorCode = Optional.empty();

    private SimulatedClient(Cluster cluster, String account, String service, Profile profile, Work work) {
        this.cluster = cluster;
        this.service = new ServiceName(service);
        this.profile = profile;
        this.account = new AccountId(account);
        this.work = work;
        String unique = cluster.nextUniqueId();
        this.idempotencyKey = profile.kind() == ProfileKind.RETRIABLE
                ? Optional.empty()
                : Optional.of(new IdempotencyKey("key-" + unique));
        this.fingerprint = Integer.toUnsignedLong(unique.hashCode());
        cluster.clients.add(this);
    }

    private static Profile profile(String name, ProfileKind kind) {
        boolean order = kind == ProfileKind.AT_MOST_ONCE;
        return new Profile(
                name,
                kind,
                6,
                5,
                order ? SimulatedDeployment.ORDER_DEADLINE_MILLIS : SimulatedDeployment.DEADLINE_MILLIS);
    }

    static SimulatedClient generation(Cluster cluster, int maxTokens) {
        Work work = new Work.Generation("model", "", "prompt", List.of(1L), maxTokens, 1);
        return new SimulatedClient(
                cluster, "shop", SimulatedDeployment.DRAFT_SERVICE, profile("draft", ProfileKind.KEPT_ALIVE), work);
    }

    static SimulatedClient order(Cluster cluster, String service) {
        return new SimulatedClient(
                cluster, "shop", service, profile("order", ProfileKind.AT_MOST_ONCE), serviceCall("/orders"));
    }

    static SimulatedClient lookup(Cluster cluster) {
        return new SimulatedClient(
                cluster,
                "shop",
                SimulatedDeployment.LOOKUP_SERVICE,
                profile("lookup", ProfileKind.RETRIABLE),
                serviceCall("/stock"));
    }

    /** Creates a client whose request crashes every target that executes it. */
    static SimulatedClient poison(Cluster cluster, String service) {
        if (service.equals(SimulatedDeployment.DRAFT_SERVICE)) {
            Work work = new Work.Generation("model", "", SimulatedTarget.POISON_CONTENT, List.of(2L), 50, 1);
            return new SimulatedClient(cluster, "other", service, profile("draft", ProfileKind.KEPT_ALIVE), work);
        }
        boolean lookup = service.equals(SimulatedDeployment.LOOKUP_SERVICE);
        Profile profile =
                lookup ? profile("lookup", ProfileKind.RETRIABLE) : profile("order", ProfileKind.AT_MOST_ONCE);
        return new SimulatedClient(cluster, "other", service, profile, serviceCall(SimulatedTarget.POISON_CONTENT));
    }

    private static Work serviceCall(String path) {
        return new Work.ServiceCall("POST", path, Map.of(), new byte[] {1});
    }

    void connect(int number) {
        connect(cluster.node(number).router());
    }

    private void connect(SimulatedRouterProcess to) {
        boolean first = connectionCount == 0;
        connectionCount++;
        connecting = false;
        if (first) {
            startedAt = cluster.now();
        }
        lastProgressAt = first ? startedAt : lastProgressAt;
        waitingSince = cluster.now();
        router = to;
        boolean resumes = !tokens.isEmpty();
        String unique = cluster.nextUniqueId();
        String ledgerKey =
                account + "/" + idempotencyKey.map(IdempotencyKey::value).orElse(unique);
        connection = resumes ? streamId : LedgerPartitions.requestId(LedgerPartitions.ofKey(ledgerKey), unique);
        requestIds.add(connection);
        RequestSpec spec = new RequestSpec(
                connection,
                account,
                service,
                profile,
                idempotencyKey,
                fingerprint,
                to.clockMillis(),
                to.clockMillis() + profile.deadlineMillis(),
                work);
        lastSpec = spec;
        OptionalInt resumeAt = resumes ? OptionalInt.of(tokens.size()) : OptionalInt.empty();
        cluster.registerConnection(to, connection, this);
        cluster.simulation.schedule(1, () -> to.offer(new RequestEvent.Arrived(spec, resumeAt)));
    }

    void onConnectionLost() {
        reconnect(RECONNECT_DELAY_MILLIS);
    }

    void onSuperseded() {
        reconnect(RECONNECT_DELAY_MILLIS);
    }

    private void reconnect(long delay) {
        if (isDone() || connecting) {
            return;
        }
        interruptionCount++;
        connecting = true;
        SimulatedRouterProcess previous = router;
        router = null;
        cluster.simulation.schedule(delay, () -> {
            if (!isDone()) {
                connectToAnotherRouter(previous);
            }
        });
    }

    private void connectToAnotherRouter(SimulatedRouterProcess previous) {
        List<Cluster.RouterNode> others = cluster.runningNodes().stream()
                .filter(node -> node.router() != previous && !cluster.isDraining(node.router()))
                .toList();
        if (connectionCount >= MAX_CONNECTIONS) {
            addViolation("no final response in " + MAX_CONNECTIONS + " connections");
            finish(Optional.empty(), Optional.empty());
            return;
        }
        if (others.isEmpty()) {
            cluster.simulation.schedule(RETRY_DELAY_MILLIS, () -> connectToAnotherRouter(previous));
            return;
        }
        connect(others.get(connectionCount % others.size()).router());
    }

    /** Reconnects to another router if the current one has made no progress for too long. */
    void reconnectIfSilent() {
        if (connectionCount == 0 || isDone() || connecting) {
            return;
        }
        if (cluster.now() - Math.max(lastProgressAt, waitingSince) > SILENCE_TIMEOUT_MILLIS) {
            SimulatedRouterProcess previous = router;
            RequestId abandoned = connection;
            cluster.simulation.schedule(1, () -> previous.offer(new RequestEvent.ClientDisconnected(abandoned)));
            reconnect(1);
        }
    }

    boolean isServedBy(SimulatedRouterProcess from, RequestId id) {
        return !isDone() && router == from && id.equals(connection);
    }

    void onTokens(RequestCommand.DeliverTokens deliver) {
        recordProgress();
        streamId = deliver.originalRequest();
        if (deliver.firstIndex() != tokens.size()) {
            addViolation("tokens from " + deliver.firstIndex() + " at position " + tokens.size());
        }
        for (String token : deliver.tokens()) {
            if (!GeneratedText.isContinuation(fingerprint, tokens, token)) {
                addViolation("token of another generation at position " + tokens.size() + ": " + token);
            }
            tokens.add(token);
        }
    }

    private void recordProgress() {
        longestGapMillis = Math.max(longestGapMillis, cluster.now() - lastProgressAt);
        lastProgressAt = cluster.now();
    }

    void onCompleted(OutcomeRecord record) {
        recordProgress();
        if (tokens.size() != ((Work.Generation) work).maxTokens()) {
            addViolation("response ended after " + tokens.size() + " tokens");
        }
        finish(Optional.of(record.executionStatus()), Optional.empty());
    }

    void onResponse(ServiceResponse response) {
        recordProgress();
        String expected = ledgerKey();
        if (!new String(response.body(), StandardCharsets.UTF_8).equals(expected)) {
            addViolation("response to another request");
        }
        finish(Optional.of(ExecutionStatus.RAN), Optional.empty());
    }

    void recordRefusal(RequestId id, Refusal refusal) {
        refusals.add(new ReceivedRefusal(id, refusal, cluster.now()));
    }

    void onRefusal(Refusal refusal) {
        // "In progress" with status NOT_RUN is final: the earlier call of a lost router was never executed.
        boolean neverExecuted =
                refusal.code() == ErrorCode.REQUEST_IN_PROGRESS && refusal.executionStatus() == ExecutionStatus.NOT_RUN;
        if (RETRIABLE_CODES.contains(refusal.code()) && !neverExecuted) {
            reconnect(RETRY_DELAY_MILLIS);
            // A retry after a refusal is not an interruption.
            interruptionCount--;
        } else {
            recordProgress();
            finish(Optional.of(refusal.executionStatus()), Optional.of(refusal.code()));
        }
    }

    private void finish(Optional<ExecutionStatus> status, Optional<ErrorCode> refusalCode) {
        executionStatus = status;
        errorCode = refusalCode;
        finishedAt = cluster.now();
    }

    private void addViolation(String text) {
        cluster.invariantViolations.add(ledgerKey() + ": " + text);
    }

    String ledgerKey() {
        return account + "/"
                + idempotencyKey
                        .map(IdempotencyKey::value)
                        .orElseGet(() -> requestIds.isEmpty() ? "" : lastRequestId());
    }

    private String lastRequestId() {
        return requestIds.getLast().value();
    }

    SimulatedRouterProcess router() {
        return router;
    }

    String service() {
        return service.value();
    }

    boolean isDone() {
        return finishedAt >= 0;
    }

    boolean isCompleted() {
        return isDone() && errorCode.isEmpty();
    }

    Optional<ExecutionStatus> executionStatus() {
        return executionStatus;
    }

    Optional<ErrorCode> errorCode() {
        return errorCode;
    }

    int tokenCount() {
        return tokens.size();
    }

    /** Returns the request as it was last sent. */
    RequestSpec lastSentSpec() {
        return lastSpec;
    }

    int maxTokens() {
        return ((Work.Generation) work).maxTokens();
    }

    long startedAt() {
        return startedAt;
    }

    boolean isOrder() {
        return profile.kind() == ProfileKind.AT_MOST_ONCE;
    }

    boolean isGeneration() {
        return work instanceof Work.Generation;
    }

    int connectionCount() {
        return connectionCount;
    }

    /** Returns how often the connection ended or became silent before the final response. */
    int interruptionCount() {
        return interruptionCount;
    }

    long longestGapMillis() {
        return longestGapMillis;
    }

    long durationMillis() {
        return finishedAt - startedAt;
    }

    @Override
    public String toString() {
        return service + " " + ledgerKey() + " requestIds=" + requestIds + " executionStatus=" + executionStatus
                + " code=" + errorCode + " tokens=" + tokens.size() + " longestGapMillis=" + longestGapMillis
                + " durationMillis="
                + durationMillis() + " connections=" + connectionCount;
    }
}
