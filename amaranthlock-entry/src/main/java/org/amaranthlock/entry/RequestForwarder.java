package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.amaranthlock.coordination.forwarding.AdmissionPolicy;
import org.amaranthlock.coordination.forwarding.AdmissionResult;
import org.amaranthlock.coordination.forwarding.ApiKeyOwner;
import org.amaranthlock.coordination.forwarding.CachedConfiguration;
import org.amaranthlock.coordination.forwarding.CrashHistory;
import org.amaranthlock.coordination.forwarding.EntryConfiguration;
import org.amaranthlock.coordination.forwarding.FleetRetryBudget;
import org.amaranthlock.coordination.forwarding.ForwardedRequest;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.RequestLimits;
import org.amaranthlock.coordination.forwarding.RetryBudgetLimits;
import org.amaranthlock.coordination.forwarding.RetryUsage;
import org.amaranthlock.coordination.forwarding.Route;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.amaranthlock.coordination.forwarding.TargetLoadBalancer;
import org.amaranthlock.coordination.forwarding.TargetTable;
import org.amaranthlock.entry.front.ClientExchange;
import org.amaranthlock.entry.front.ClientRequestHandler;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.target.TargetConnectionPool;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.platform.ClientRequest;
import org.apache.commons.rng.UniformRandomProvider;

/** Requests that are on their way; owns the state of the traffic thread. */
final class RequestForwarder implements ClientRequestHandler {
    /** Hosts that are taken to share the budget of repeats until the directory has been read; all may have restarted. */
    private static final int UNKNOWN_HOSTS = 20;

    private static final int LEAST_URGENT = 9;

    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final LongSupplier ageClockMillis;
    private final AdmissionPolicy rules;
    private final RetryBudgetLimits fleetBudget;
    private final RetryUsage repeatUse;
    private final TargetLoadBalancer picker;
    private final UniformRandomProvider random;
    private final TargetConnectionPool connections;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Runnable onNews;
    private final CrashHistory crashes = new CrashHistory();
    private final CachedConfiguration belief = new CachedConfiguration();
    private final Map<ServiceName, FleetRetryBudget> budgets = new HashMap<>();
    private final Set<ActiveRequest> active = new LinkedHashSet<>();
    private int registeredHosts = UNKNOWN_HOSTS;
    private boolean targetsKnown;
    private boolean draining;

    RequestForwarder(
            EventLoop loop,
            LongSupplier clockMillis,
            LongSupplier ageClockMillis,
            AdmissionPolicy rules,
            RetryBudgetLimits fleetBudget,
            TargetLoadBalancer picker,
            UniformRandomProvider random,
            TargetConnectionPool connections,
            DecisionLog log,
            EntryMetrics metrics,
            Runnable onNews) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.ageClockMillis = Objects.requireNonNull(ageClockMillis, "age clock");
        this.rules = Objects.requireNonNull(rules, "rules");
        this.fleetBudget = Objects.requireNonNull(fleetBudget, "fleet budget");
        this.repeatUse = new RetryUsage(fleetBudget.windowMillis());
        this.picker = Objects.requireNonNull(picker, "picker");
        this.random = Objects.requireNonNull(random, "random");
        this.connections = Objects.requireNonNull(connections, "connections");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.onNews = Objects.requireNonNull(onNews, "news");
    }

    /** Takes over a configuration that a call which was sent at {@code sentAtMillis} found. */
    void onConfigurationConfirmed(EntryConfiguration configuration, long sentAtMillis) {
        if (belief.confirm(configuration, sentAtMillis)) {
            metrics.configurationVersion(configuration.version());
            log.write("configuration-in-force", "version", configuration.version(), "age_ms", age());
        }
    }

    /** Takes over the known targets. */
    void updateTargets(TargetTable table) {
        targetsKnown = true;
        picker.update(table);
        connections.retain(id -> table.target(id).isPresent());
    }

    /** Takes over what another host has in flight. */
    void updateRemote(HostLoadReport news) {
        picker.updateRemote(news, clockMillis.getAsLong());
        repeatUse.updateRemote(news.host(), news.retries(), clockMillis.getAsLong());
        crashes.updateRemote(news.host(), news.crashes(), clockMillis.getAsLong());
    }

    /** Takes over how many hosts are registered, this one included. */
    void registeredHosts(int count) {
        registeredHosts = count;
    }

    /** Returns what this host knows of engines at first hand. */
    HostLoadReport loadReport(String host) {
        Predicate<ServiceName> engines = service ->
                belief.current().map(known -> known.service(service).engine()).orElse(false);
        long now = clockMillis.getAsLong();
        return picker.loadReport(host, engines, crashes.localCrashes(now), repeatUse.localRetries(now), now);
    }

    /** Returns whether clients should come to this host. */
    boolean isReady() {
        return !draining && targetsKnown && belief.current().isPresent() && rules.isFresh(age());
    }

    /** Makes connections close after their answers. */
    void drain() {
        draining = true;
    }

    /** Returns how many requests have no final answer yet. */
    int activeRequestCount() {
        return active.size();
    }

    /** Breaks off what is still running, shortly before the process ends. */
    void abortAll() {
        for (ActiveRequest request : Set.copyOf(active)) {
            request.abort();
        }
    }

    @Override
    public void handle(ClientRequest request, ClientExchange exchange) {
        long age = age();
        AdmissionResult verdict = rules.decide(belief, request.host(), request.path(), request.apiKey(), age);
        switch (verdict) {
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
                        belief.current().map(EntryConfiguration::version).orElse(-1L),
                        "age_ms",
                        age == Long.MAX_VALUE ? -1 : age);
                exchange.reject(rejection);
            }
            case AdmissionResult.Admitted admitted -> forward(request, exchange, admitted);
        }
    }

    @Override
    public RequestLimits limits() {
        return belief.current().map(EntryConfiguration::limits).orElse(RequestLimits.INITIAL);
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public void onRejectedEarly(String requestId, int status, String reason) {
        metrics.recordRequest("rejected", reason, 0);
        log.write("rejected", "id", requestId.isEmpty() ? "-" : requestId, "status", status, "cause", reason);
    }

    private void forward(ClientRequest request, ClientExchange exchange, AdmissionResult.Admitted admitted) {
        Route route = admitted.route();
        ServiceDefinition service = admitted.configuration().service(route.service(random.nextDouble()));
        Optional<Integer> urgency =
                service.engine() ? Optional.of(urgency(route, admitted.keyOwner())) : Optional.empty();
        FleetRetryBudget budget =
                budgets.computeIfAbsent(service.name(), _ -> new FleetRetryBudget(fleetBudget, repeatUse, this::hosts));
        ActiveRequest running = new ActiveRequest(
                request,
                admitted.keyOwner().map(ApiKeyOwner::account),
                exchange,
                connections,
                loop,
                clockMillis,
                log,
                metrics,
                !service.engine(),
                onNews,
                active::remove);
        active.add(running);
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
                admitted.keyOwner().map(holder -> holder.account().value()).orElse("-"),
                "version",
                admitted.configuration().version(),
                "age_ms",
                age());
        running.start(new ForwardedRequest(
                request.toAttributes(), route, service, urgency, picker, budget, crashes, running));
    }

    /** Returns how many hosts share the fleet's budget: those of the directory, or those heard of if they are more. */
    private int hosts() {
        return Math.max(registeredHosts, picker.hostCount());
    }

    private static int urgency(Route route, Optional<ApiKeyOwner> holder) {
        OptionalInt ofAccount = holder.isPresent() ? holder.get().priority() : OptionalInt.empty();
        return Math.clamp(ofAccount.orElse(route.priority()), 0, LEAST_URGENT);
    }

    private long age() {
        return belief.ageMillis(ageClockMillis.getAsLong());
    }
}
