package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.amaranthlock.coordination.forwarding.AdmissionPolicy;
import org.amaranthlock.coordination.forwarding.AdmissionResult;
import org.amaranthlock.coordination.forwarding.ApiKeyOwner;
import org.amaranthlock.coordination.forwarding.CachedConfiguration;
import org.amaranthlock.coordination.forwarding.CrashHistory;
import org.amaranthlock.coordination.forwarding.EntryConfiguration;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.FleetRetryBudget;
import org.amaranthlock.coordination.forwarding.ForwardedRequest;
import org.amaranthlock.coordination.forwarding.ForwardingState;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.RandomCopy;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.RequestLimits;
import org.amaranthlock.coordination.forwarding.RetryBudgetLimits;
import org.amaranthlock.coordination.forwarding.RetryUsage;
import org.amaranthlock.coordination.forwarding.Route;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.amaranthlock.coordination.forwarding.StreamQueues;
import org.amaranthlock.coordination.forwarding.TargetLoadBalancer;
import org.amaranthlock.coordination.forwarding.TargetTable;
import org.amaranthlock.coordination.loadreport.ObservedReport;
import org.amaranthlock.coordination.rollout.RolloutGate;
import org.amaranthlock.coordination.streamversion.RegisteredVersions.RegisteredTarget;
import org.amaranthlock.entry.explain.ExplainQuery;
import org.amaranthlock.entry.explain.Explanation;
import org.amaranthlock.entry.front.ClientExchange;
import org.amaranthlock.entry.front.ClientExchangeHandler;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.relay.RelayServer;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.platform.ClientRequest;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/** Admits client requests and forwards them to targets; owns all state that is confined to the traffic thread. */
final class RequestForwarder implements ClientExchangeHandler, RelayServer.Handler {
    /**
     * Number of hosts assumed to share the retry budget until the peer directory has been read. Hosts that all restart
     * at once would exceed the budget if each assumed too few.
     */
    private static final int INITIAL_HOST_COUNT = 20;

    private static final int LOWEST_PRIORITY = 9;

    /** Targets that are checked at a time while this host has no path to them. */
    private static final int MAX_PATH_CHECKS = 4;

    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final LongSupplier ageClockMillis;
    private final LongSupplier unixClockMillis;
    private final AdmissionPolicy admissionPolicy;
    private final RetryBudgetLimits retryBudgetLimits;
    private final RetryUsage retryUsage;
    private final ForwardingState state;
    private final TargetLoadBalancer loadBalancer;
    private final CrashHistory crashHistory;
    private final UniformRandomProvider random;
    private final OutboundCalls calls;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Runnable onLoadChanged;
    private final StreamQueues queues;
    private final CachedConfiguration cachedConfiguration = new CachedConfiguration();
    private final GraceLimit graceLimit = new GraceLimit();
    private final Map<ServiceName, FleetRetryBudget> retryBudgets = new HashMap<>();
    private final Set<ActiveRequest> activeRequests = new LinkedHashSet<>();
    private int registeredHostCount = INITIAL_HOST_COUNT;
    private boolean targetsKnown;
    private boolean verdictsAwaited = true;
    private boolean draining;
    private Optional<Runnable> onConfigured = Optional.empty();

    RequestForwarder(
            EventLoop loop,
            LongSupplier clockMillis,
            LongSupplier ageClockMillis,
            LongSupplier unixClockMillis,
            AdmissionPolicy admissionPolicy,
            RetryBudgetLimits retryBudgetLimits,
            ForwardingState state,
            UniformRandomProvider random,
            OutboundCalls calls,
            DecisionLog log,
            EntryMetrics metrics,
            Runnable onLoadChanged) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.ageClockMillis = Objects.requireNonNull(ageClockMillis, "age clock");
        this.unixClockMillis = Objects.requireNonNull(unixClockMillis, "Unix clock");
        this.admissionPolicy = Objects.requireNonNull(admissionPolicy, "admission policy");
        this.retryBudgetLimits = Objects.requireNonNull(retryBudgetLimits, "retry budget limits");
        this.retryUsage = new RetryUsage(retryBudgetLimits.windowMillis());
        this.state = Objects.requireNonNull(state, "state");
        this.loadBalancer = state.loadBalancer();
        this.crashHistory = state.crashHistory();
        this.random = Objects.requireNonNull(random, "random");
        this.calls = Objects.requireNonNull(calls, "calls");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.onLoadChanged = Objects.requireNonNull(onLoadChanged, "load listener");
        this.queues = new StreamQueues(
                loadBalancer,
                state.prefillEstimates(),
                state.mechanisms(),
                this::fleetHostCount,
                random,
                new ContentionLog(log, metrics, onLoadChanged));
    }

    /** Stops waiting for the verdicts on prompt parts, because they are known or take too long. */
    void endVerdictWait() {
        verdictsAwaited = false;
        runIfConfigured();
    }

    /** Runs an action on the traffic thread as soon as the configuration, the targets and the verdicts are known. */
    void whenConfigured(Runnable action) {
        onConfigured = Optional.of(action);
        runIfConfigured();
    }

    /** Applies a configuration that a call sent at {@code sentAtMillis} has confirmed to be the newest. */
    void onConfigurationConfirmed(EntryConfiguration configuration, long sentAtMillis) {
        if (cachedConfiguration.confirm(configuration, sentAtMillis)) {
            metrics.updateConfigurationVersion(configuration.version());
            log.write("configuration-in-force", "version", configuration.version(), "age_ms", configurationAgeMillis());
            runIfConfigured();
        }
    }

    /** Replaces the known targets and closes idle connections to removed ones. */
    void updateTargets(TargetTable table) {
        targetsKnown = true;
        loadBalancer.update(table);
        updateRolloutGate(table);
        loadBalancer
                .availability()
                .update(table.targets().stream().map(EntryTarget::incarnation).toList(), clockMillis.getAsLong());
        recordVersions(table);
        calls.connections().closeConnectionsExcept(id -> table.target(id).isPresent());
        runIfConfigured();
    }

    private void updateRolloutGate(TargetTable table) {
        List<RolloutGate.GateTarget> targets = table.targets().stream()
                .filter(target -> !target.draining())
                .map(target -> new RolloutGate.GateTarget(
                        target.service(),
                        target.version(),
                        target.id(),
                        target.remainingWarmUpMillis(),
                        target.startedAtMillis()))
                .toList();
        loadBalancer.rolloutGate().updateTargets(targets, clockMillis.getAsLong());
    }

    /** Applies the load reports of other hosts, which describe the time at which they were made. */
    void applyLoadReports(List<ObservedReport> reports) {
        long ageMillis = ageClockMillis.getAsLong();
        long nowMillis = clockMillis.getAsLong();
        for (ObservedReport observed : reports) {
            HostLoadReport report = observed.report();
            long madeAtMillis = nowMillis - Math.max(0, ageMillis - observed.atMillis());
            loadBalancer.updateRemote(report, madeAtMillis, nowMillis);
            state.reservations().ifPresent(reservations -> reservations.recordReport(report, madeAtMillis));
            queues.updateRemote(report.host(), report.waiting(), madeAtMillis, nowMillis);
            retryUsage.updateRemote(report.host(), report.retries(), madeAtMillis);
            crashHistory.updateRemote(report.host(), report.crashes(), madeAtMillis);
        }
        loadBalancer.permits().updateHostCount(fleetHostCount());
    }

    /** Updates the number of registered hosts, including this one. */
    void updateRegisteredHostCount(int count) {
        registeredHostCount = count;
        loadBalancer.permits().updateHostCount(fleetHostCount());
        loadBalancer.permits().onDirectoryRead();
    }

    /** Returns this host's own observations of engine load, crashes and retries, without data received from peers. */
    HostLoadReport loadReport(String host) {
        Predicate<ServiceName> isEngineService = service -> cachedConfiguration
                .current()
                .map(configuration -> configuration.service(service).engine())
                .orElse(false);
        long now = clockMillis.getAsLong();
        DoubleSummaryStatistics slowness = loadBalancer.estimates().slownessRange(now);
        if (slowness.getCount() > 0) {
            metrics.updateTargetSlowness(slowness.getMax(), slowness.getMin());
        }
        HostLoadReport report = loadBalancer.loadReport(
                host, isEngineService, crashHistory.localCrashes(now), retryUsage.localRetries(now), now);
        return report.withWaiting(queues.report(now));
    }

    /** Explains where a request would go now, without sending it; throws an exception with the remedy if it cannot. */
    Explanation explain(ExplainQuery query) {
        RequestExplainer explainer = new RequestExplainer(
                admissionPolicy,
                RequestExplainer.requireReady(cachedConfiguration.current(), targetsKnown),
                configurationAgeMillis(),
                state,
                queues,
                activeRequests,
                RandomCopy.of(random),
                clockMillis.getAsLong());
        return explainer.explain(query);
    }

    /** Returns whether this host can serve new client connections. */
    boolean isReady() {
        return !draining
                && targetsKnown
                && !verdictsAwaited
                && cachedConfiguration.current().isPresent()
                && admissionPolicy.isFresh(configurationAgeMillis());
    }

    /** Returns the limit for requests that arrive while this host stops. */
    GraceLimit graceLimit() {
        return graceLimit;
    }

    /**
     * Reports this host as not ready and makes each client connection close after its current response. Streams that wait
     * are turned away, because they could not end within the grace period.
     */
    void drain() {
        draining = true;
        queues.drain(clockMillis.getAsLong());
    }

    /** Returns the number of requests without a final response. */
    int activeRequestCount() {
        return activeRequests.size();
    }

    /** Ends all running requests, shortly before the process ends. */
    void abortAll() {
        for (ActiveRequest request : Set.copyOf(activeRequests)) {
            request.endWithProcess();
        }
    }

    @Override
    public void handle(ClientRequest request, ClientExchange exchange) {
        long ageMillis = configurationAgeMillis();
        AdmissionResult decided = admissionPolicy.decide(
                cachedConfiguration, request.host(), request.path(), request.apiKey(), ageMillis);
        AdmissionResult result = graceLimit.apply(decided, request, clockMillis.getAsLong());
        switch (result) {
            case AdmissionResult.Rejected rejected -> {
                Rejection rejection = rejected.rejection();
                metrics.recordRequest("rejected", rejection.reason(), 0);
                log.write(
                        "rejected",
                        "id",
                        request.requestId(),
                        "status",
                        rejection.status(),
                        "cause",
                        rejection.reason(),
                        "version",
                        cachedConfiguration
                                .current()
                                .map(EntryConfiguration::version)
                                .orElse(-1L),
                        "age_ms",
                        ageMillis == Long.MAX_VALUE ? -1 : ageMillis);
                exchange.reject(rejection);
            }
            case AdmissionResult.Admitted admitted -> forward(request, exchange, admitted, Optional.empty());
        }
    }

    @Override
    public String reasonNotToServe(ClientRequest request, long configurationVersion) {
        long knownVersion =
                cachedConfiguration.current().map(EntryConfiguration::version).orElse(-1L);
        if (draining) {
            return "draining";
        }
        if (knownVersion < configurationVersion) {
            return "older-configuration";
        }
        return switch (admit(request)) {
            case AdmissionResult.Rejected rejected -> rejected.rejection().reason();
            case AdmissionResult.Admitted admitted -> hasPath(admitted.route()) ? "" : "no-path";
        };
    }

    @Override
    public void handleRelayed(EntryPeerMessage.RelayRequest message, ClientExchange exchange) {
        switch (admit(message.request())) {
            case AdmissionResult.Admitted admitted ->
                forward(message.request(), exchange, admitted, Optional.of(message));
            case AdmissionResult.Rejected rejected -> exchange.reject(rejected.rejection());
        }
    }

    /**
     * Checks the targets to whose services this host seems to have no path. A target that is limited or rests gets no
     * request for it; that it accepts a connection has to suffice.
     */
    void checkPaths() {
        List<EntryTarget> unchecked = new ArrayList<>(loadBalancer.targetsWithoutPath(clockMillis.getAsLong()));
        ListSampler.shuffle(random, unchecked);
        for (EntryTarget target : unchecked.subList(0, Math.min(unchecked.size(), MAX_PATH_CHECKS))) {
            Consumer<Boolean> result = reachable -> onPathChecked(target, reachable);
            if (loadBalancer.acceptsCalls(target, clockMillis.getAsLong())) {
                calls.connections().checkResponds(target, result);
            } else {
                calls.connections().probe(target, result);
            }
        }
    }

    @Override
    public RequestLimits limits() {
        return cachedConfiguration.current().map(EntryConfiguration::limits).orElse(RequestLimits.INITIAL);
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public void onClientTooSlow(String requestId) {
        log.write("client-too-slow", "id", requestId);
    }

    @Override
    public void onRejectedEarly(String requestId, int status, String reason) {
        metrics.recordRequest("rejected", reason, 0);
        log.write("rejected", "id", requestId.isEmpty() ? "-" : requestId, "status", status, "cause", reason);
    }

    private void recordVersions(TargetTable table) {
        long unixMillis = unixClockMillis.getAsLong();
        List<RegisteredTarget> targets = table.targets().stream()
                .map(target -> new RegisteredTarget(
                        target.service(),
                        target.version(),
                        target.startedAtMillis() == 0 ? 0 : unixMillis - target.startedAtMillis()))
                .toList();
        state.registeredVersions().update(targets, clockMillis.getAsLong());
    }

    private void onPathChecked(EntryTarget target, boolean reachable) {
        long nowMillis = clockMillis.getAsLong();
        boolean wasCut = loadBalancer.isCut(target.service(), nowMillis);
        if (reachable) {
            loadBalancer.recordSuccess(target, nowMillis);
        } else {
            loadBalancer.recordUnreachable(target, nowMillis);
        }
        if (wasCut && reachable) {
            log.write("path-restored", "service", target.service(), "target", target.id());
        }
        onLoadChanged.run();
    }

    private boolean hasPath(Route route) {
        long nowMillis = clockMillis.getAsLong();
        return route.services().stream().noneMatch(choice -> loadBalancer.isCut(choice.service(), nowMillis));
    }

    private AdmissionResult admit(ClientRequest request) {
        return admissionPolicy.decide(
                cachedConfiguration, request.host(), request.path(), request.apiKey(), configurationAgeMillis());
    }

    /**
     * Forwards an admitted request.
     *
     * @param relay message by which another host has passed on the request; empty for a request of a client of this
     *     host
     */
    private void forward(
            ClientRequest request,
            ClientExchange exchange,
            AdmissionResult.Admitted admitted,
            Optional<EntryPeerMessage.RelayRequest> relay) {
        boolean relayed = relay.isPresent();
        Route route = relayed ? admitted.route().withMaxAttempts(relay.get().executionsLeft()) : admitted.route();
        ServiceDefinition service = admitted.configuration().service(route.selectService(random.nextDouble()));
        Optional<Integer> priority =
                service.engine() ? Optional.of(effectivePriority(route, admitted.keyOwner())) : Optional.empty();
        FleetRetryBudget budget = retryBudgets.computeIfAbsent(
                service.name(), _ -> new FleetRetryBudget(retryBudgetLimits, retryUsage, this::fleetHostCount));
        ActiveRequest activeRequest = new ActiveRequest(
                request,
                admitted.keyOwner().map(ApiKeyOwner::account),
                exchange,
                calls,
                relayed
                        ? Optional.empty()
                        : Optional.of(new RelayFactory(
                                route, service.name(), admitted.configuration().version(), loadBalancer)),
                loop,
                clockMillis,
                log,
                metrics,
                // Each client request to an engine gets a new connection; TargetConnectionPool#send states the reason.
                !service.engine(),
                onLoadChanged,
                activeRequests::remove);
        activeRequests.add(activeRequest);
        log.write(
                "admitted",
                "id",
                request.requestId(),
                "route",
                route.name(),
                "service",
                service.name(),
                "kind",
                route.kind(),
                "account",
                admitted.keyOwner().map(owner -> owner.account().value()).orElse("-"),
                "version",
                admitted.configuration().version(),
                "age_ms",
                configurationAgeMillis(),
                "relayed",
                relayed,
                "last_event",
                request.toAttributes().lastEventId().orElse(-1L),
                "resumes",
                request.resumedRequest().orElse("-"));
        ForwardedRequest forwarded =
                new ForwardedRequest(request.toAttributes(), route, service, priority, state, budget, activeRequest);
        if (queues.applyTo(service, admitted.configuration())) {
            forwarded.queueBy(queues, admitted.keyOwner());
        }
        if (relayed) {
            relay.get().streamVersion().ifPresent(forwarded::bindTo);
            activeRequest.startCounted(forwarded);
        } else {
            activeRequest.start(forwarded);
        }
    }

    /**
     * Returns the number of hosts that share the fleet's retry budget: the registered hosts, or the hosts that have
     * sent load reports if these are more.
     */
    private int fleetHostCount() {
        return Math.max(registeredHostCount, loadBalancer.hostCount());
    }

    static int effectivePriority(Route route, Optional<ApiKeyOwner> owner) {
        OptionalInt accountPriority = owner.isPresent() ? owner.get().priority() : OptionalInt.empty();
        return Math.clamp(accountPriority.orElse(route.priority()), 0, LOWEST_PRIORITY);
    }

    private void runIfConfigured() {
        if (targetsKnown && !verdictsAwaited && cachedConfiguration.current().isPresent()) {
            Optional<Runnable> action = onConfigured;
            onConfigured = Optional.empty();
            action.ifPresent(Runnable::run);
        }
    }

    private long configurationAgeMillis() {
        return cachedConfiguration.ageMillis(ageClockMillis.getAsLong());
    }
}
