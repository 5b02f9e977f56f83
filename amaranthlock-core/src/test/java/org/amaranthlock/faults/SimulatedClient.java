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

/** A caller that checks its answer and comes back on another router when the connection ends or falls silent. */
final class SimulatedClient {
    /** Callers wait a few seconds at most before they go to another router. */
    static final long SILENCE_TIMEOUT_MILLIS = 2_500;

    private static final long RECONNECT_MILLIS = 100;
    private static final long REPEAT_MILLIS = 400;
    private static final int MAX_CONNECTIONS = 40;
    /** Refusals after which a caller repeats its request, as their Retry-After tells it. */
    private static final Set<ErrorCode> TRANSIENT =
            Set.of(ErrorCode.DRAINING, ErrorCode.REQUEST_IN_PROGRESS, ErrorCode.PLATFORM_UNAVAILABLE);

    /** A refusal as the caller of one connection read it. */
    record ReceivedRefusal(RequestId connection, Refusal refusal, long atMillis) {}

    final List<ReceivedRefusal> refusals = new ArrayList<>();
    final List<RequestId> ids = new ArrayList<>();
    private final Cluster cluster;
    private final ServiceName service;
    private final Profile profile;
    private final AccountId account;
    private final Optional<IdempotencyKey> key;
    private final Work work;
    private final long fingerprint;
    private final List<String> tokens = new ArrayList<>();
    private SimulatedRouterProcess router;
    private RequestId connection;
    private RequestId streamId;
    private RequestSpec lastSpec;
    private boolean connecting;
    private int connections;
    private int interruptions;
    private long startedAt;
    private long waitingSince;
    private long lastProgressAt;
    private long longestGap;
    private long finishedAt = -1;
    private Optional<ExecutionStatus> executionStatus = Optional.empty();
    private Optional<ErrorCode> code = Optional.empty();

    private SimulatedClient(Cluster cluster, String account, String service, Profile profile, Work work) {
        this.cluster = cluster;
        this.service = new ServiceName(service);
        this.profile = profile;
        this.account = new AccountId(account);
        this.work = work;
        String unique = cluster.nextUniqueId();
        this.key = profile.kind() == ProfileKind.RETRIABLE
                ? Optional.empty()
                : Optional.of(new IdempotencyKey("key-" + unique));
        this.fingerprint = Integer.toUnsignedLong(unique.hashCode());
        cluster.clients.add(this);
    }

    private static Profile profile(String name, ProfileKind kind) {
        boolean order = kind == ProfileKind.AT_MOST_ONCE;
        return new Profile(
                name, kind, 6, 5, order ? SimulatedDeployment.ORDER_MILLIS : SimulatedDeployment.DEADLINE_MILLIS);
    }

    static SimulatedClient generation(Cluster cluster, int maxTokens) {
        Work work = new Work.Generation("model", "", "prompt", List.of(1L), maxTokens, 1);
        return new SimulatedClient(
                cluster, "shop", SimulatedDeployment.DRAFTS, profile("draft", ProfileKind.KEPT_ALIVE), work);
    }

    static SimulatedClient order(Cluster cluster, String service) {
        return new SimulatedClient(
                cluster, "shop", service, profile("order", ProfileKind.AT_MOST_ONCE), call("/orders"));
    }

    static SimulatedClient lookup(Cluster cluster) {
        return new SimulatedClient(
                cluster, "shop", SimulatedDeployment.LOOKUPS, profile("lookup", ProfileKind.RETRIABLE), call("/stock"));
    }

    /** Returns a caller whose request crashes every target that runs it. */
    static SimulatedClient poison(Cluster cluster, String service) {
        if (service.equals(SimulatedDeployment.DRAFTS)) {
            Work work = new Work.Generation("model", "", SimulatedTarget.POISON, List.of(2L), 50, 1);
            return new SimulatedClient(cluster, "other", service, profile("draft", ProfileKind.KEPT_ALIVE), work);
        }
        boolean lookup = service.equals(SimulatedDeployment.LOOKUPS);
        Profile profile =
                lookup ? profile("lookup", ProfileKind.RETRIABLE) : profile("order", ProfileKind.AT_MOST_ONCE);
        return new SimulatedClient(cluster, "other", service, profile, call(SimulatedTarget.POISON));
    }

    private static Work call(String path) {
        return new Work.ServiceCall("POST", path, Map.of(), new byte[] {1});
    }

    void connect(int number) {
        connect(cluster.node(number).router());
    }

    private void connect(SimulatedRouterProcess to) {
        boolean first = connections == 0;
        connections++;
        connecting = false;
        if (first) {
            startedAt = cluster.now();
        }
        lastProgressAt = first ? startedAt : lastProgressAt;
        waitingSince = cluster.now();
        router = to;
        boolean resumes = !tokens.isEmpty();
        String unique = cluster.nextUniqueId();
        String ledgerKey = account + "/" + key.map(IdempotencyKey::value).orElse(unique);
        connection = resumes ? streamId : LedgerPartitions.requestId(LedgerPartitions.ofKey(ledgerKey), unique);
        ids.add(connection);
        RequestSpec spec = new RequestSpec(
                connection,
                account,
                service,
                profile,
                key,
                fingerprint,
                to.clockMillis(),
                to.clockMillis() + profile.deadlineMillis(),
                work);
        lastSpec = spec;
        OptionalInt resumeAt = resumes ? OptionalInt.of(tokens.size()) : OptionalInt.empty();
        cluster.connected(to, connection, this);
        cluster.simulation.schedule(1, () -> to.offer(new RequestEvent.Arrived(spec, resumeAt)));
    }

    void onConnectionLost() {
        reconnect(RECONNECT_MILLIS);
    }

    void onSuperseded() {
        reconnect(RECONNECT_MILLIS);
    }

    private void reconnect(long delay) {
        if (isDone() || connecting) {
            return;
        }
        interruptions++;
        connecting = true;
        SimulatedRouterProcess old = router;
        router = null;
        cluster.simulation.schedule(delay, () -> {
            if (!isDone()) {
                another(old);
            }
        });
    }

    private void another(SimulatedRouterProcess old) {
        List<Cluster.RouterNode> others = cluster.running().stream()
                .filter(node -> node.router() != old && !cluster.draining(node.router()))
                .toList();
        if (connections >= MAX_CONNECTIONS) {
            violate("no final answer in " + MAX_CONNECTIONS + " connections");
            finish(Optional.empty(), Optional.empty());
            return;
        }
        if (others.isEmpty()) {
            cluster.simulation.schedule(REPEAT_MILLIS, () -> another(old));
            return;
        }
        connect(others.get(connections % others.size()).router());
    }

    /** Goes to another router when this one is silent for too long. */
    void checkSilence() {
        if (connections == 0 || isDone() || connecting) {
            return;
        }
        if (cluster.now() - Math.max(lastProgressAt, waitingSince) > SILENCE_TIMEOUT_MILLIS) {
            SimulatedRouterProcess old = router;
            RequestId left = connection;
            cluster.simulation.schedule(1, () -> old.offer(new RequestEvent.ClientDisconnected(left)));
            reconnect(1);
        }
    }

    boolean isServedBy(SimulatedRouterProcess from, RequestId id) {
        return !isDone() && router == from && id.equals(connection);
    }

    void onTokens(RequestCommand.DeliverTokens deliver) {
        progressed();
        streamId = deliver.originalRequest();
        if (deliver.firstIndex() != tokens.size()) {
            violate("tokens from " + deliver.firstIndex() + " at position " + tokens.size());
        }
        for (String token : deliver.tokens()) {
            if (!GeneratedText.isContinuation(fingerprint, tokens, token)) {
                violate("token of another generation at " + tokens.size() + ": " + token);
            }
            tokens.add(token);
        }
    }

    private void progressed() {
        longestGap = Math.max(longestGap, cluster.now() - lastProgressAt);
        lastProgressAt = cluster.now();
    }

    void completed(OutcomeRecord record) {
        progressed();
        if (tokens.size() != ((Work.Generation) work).maxTokens()) {
            violate("answer ended after " + tokens.size() + " tokens");
        }
        finish(Optional.of(record.executionStatus()), Optional.empty());
    }

    void onResponse(ServiceResponse response) {
        progressed();
        String expected = ledgerKey();
        if (!new String(response.body(), StandardCharsets.UTF_8).equals(expected)) {
            violate("answer to another request");
        }
        finish(Optional.of(ExecutionStatus.RAN), Optional.empty());
    }

    void recordRefusal(RequestId id, Refusal refusal) {
        refusals.add(new ReceivedRefusal(id, refusal, cluster.now()));
    }

    void onRefusal(Refusal refusal) {
        // "In progress" with fate "not run" tells that the earlier call of a lost router never ran: that is final.
        boolean lostCall =
                refusal.code() == ErrorCode.REQUEST_IN_PROGRESS && refusal.executionStatus() == ExecutionStatus.NOT_RUN;
        if (TRANSIENT.contains(refusal.code()) && !lostCall) {
            reconnect(REPEAT_MILLIS);
            interruptions--;
        } else {
            progressed();
            finish(Optional.of(refusal.executionStatus()), Optional.of(refusal.code()));
        }
    }

    private void finish(Optional<ExecutionStatus> told, Optional<ErrorCode> reason) {
        executionStatus = told;
        code = reason;
        finishedAt = cluster.now();
    }

    private void violate(String text) {
        cluster.invariantViolations.add(ledgerKey() + ": " + text);
    }

    String ledgerKey() {
        return account + "/" + key.map(IdempotencyKey::value).orElseGet(() -> ids.isEmpty() ? "" : unkeyed());
    }

    private String unkeyed() {
        return ids.getLast().value();
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

    boolean completed() {
        return isDone() && code.isEmpty();
    }

    Optional<ExecutionStatus> executionStatus() {
        return executionStatus;
    }

    Optional<ErrorCode> code() {
        return code;
    }

    int tokens() {
        return tokens.size();
    }

    /** Returns the request as it was sent last. */
    RequestSpec spec() {
        return lastSpec;
    }

    int length() {
        return ((Work.Generation) work).maxTokens();
    }

    long startedAt() {
        return startedAt;
    }

    boolean isOrder() {
        return profile.kind() == ProfileKind.AT_MOST_ONCE;
    }

    boolean isStreaming() {
        return work instanceof Work.Generation;
    }

    int connections() {
        return connections;
    }

    /** Returns how often the connection ended or fell silent without a final answer. */
    int interruptions() {
        return interruptions;
    }

    long longestGap() {
        return longestGap;
    }

    long durationMillis() {
        return finishedAt - startedAt;
    }

    @Override
    public String toString() {
        return service + " " + ledgerKey() + " ids=" + ids + " fate=" + executionStatus + " code=" + code + " tokens="
                + tokens.size() + " gap=" + longestGap + " took=" + durationMillis() + " connections=" + connections;
    }
}
