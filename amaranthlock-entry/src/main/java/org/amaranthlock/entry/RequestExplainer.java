package org.amaranthlock.entry;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.forwarding.AdmissionPolicy;
import org.amaranthlock.coordination.forwarding.AdmissionResult;
import org.amaranthlock.coordination.forwarding.ApiKeyOwner;
import org.amaranthlock.coordination.forwarding.EntryConfiguration;
import org.amaranthlock.coordination.forwarding.ForwardingState;
import org.amaranthlock.coordination.forwarding.Mechanism;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.RequestPreview;
import org.amaranthlock.coordination.forwarding.RequestPreviewer;
import org.amaranthlock.coordination.forwarding.Route;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.amaranthlock.coordination.forwarding.StreamQueues;
import org.amaranthlock.entry.explain.ExplainError;
import org.amaranthlock.entry.explain.ExplainException;
import org.amaranthlock.entry.explain.ExplainQuery;
import org.amaranthlock.entry.explain.ExplainQuery.RouteAddress;
import org.amaranthlock.entry.explain.Explanation;
import org.amaranthlock.model.AccountId;
import org.apache.commons.rng.UniformRandomProvider;

/** Explains one request at one moment; used on the traffic thread. */
final class RequestExplainer {
    /** Maximum number of names that an error lists. */
    private static final int MAX_NAMES = 20;

    private final AdmissionPolicy admissionPolicy;
    private final EntryConfiguration configuration;
    private final long configurationAgeMillis;
    private final ForwardingState state;
    private final StreamQueues queues;
    private final Collection<ActiveRequest> activeRequests;
    private final UniformRandomProvider random;
    private final long nowMillis;

    /**
     * Creates an explainer.
     *
     * @param random copy of the generator with which this host decides, in its present state
     */
    RequestExplainer(
            AdmissionPolicy admissionPolicy,
            EntryConfiguration configuration,
            long configurationAgeMillis,
            ForwardingState state,
            StreamQueues queues,
            Collection<ActiveRequest> activeRequests,
            UniformRandomProvider random,
            long nowMillis) {
        this.admissionPolicy = Objects.requireNonNull(admissionPolicy, "admission policy");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.configurationAgeMillis = configurationAgeMillis;
        this.state = Objects.requireNonNull(state, "state");
        this.queues = Objects.requireNonNull(queues, "queues");
        this.activeRequests = Objects.requireNonNull(activeRequests, "active requests");
        this.random = Objects.requireNonNull(random, "random");
        this.nowMillis = nowMillis;
    }

    /** Returns the configuration of a host that knows its targets; throws {@link ExplainException} if there is none. */
    static EntryConfiguration requireReady(Optional<EntryConfiguration> configuration, boolean targetsKnown) {
        return configuration
                .filter(_ -> targetsKnown)
                .orElseThrow(() -> new ExplainException(
                        ExplainError.HOST_NOT_READY,
                        "This host has not read the configuration and the targets yet. Repeat the call, or ask another"
                                + " host."));
    }

    /** Returns the explanation; throws {@link ExplainException} if the request is not known. */
    Explanation explain(ExplainQuery query) {
        return switch (query) {
            case ExplainQuery.InProgress inProgress -> explainInProgress(inProgress.id());
            case ExplainQuery.Unsent unsent -> explainUnsent(unsent);
        };
    }

    private Explanation explainInProgress(String id) {
        ActiveRequest request = activeRequests.stream()
                .filter(active -> active.id().equals(id))
                .findFirst()
                .orElseThrow(() -> new ExplainException(
                        ExplainError.UNKNOWN_REQUEST,
                        "No request with the id \"" + id + "\" is in progress at this host. Ask the host whose log has"
                                + " its \"admitted\" line; if it has ended, that log tells how."));
        RequestPreviewer previewer = new RequestPreviewer(state, queues);
        RequestPreview preview = previewer.previewNext(
                request.forwarded(), service -> queues.applyTo(service, configuration), random, nowMillis);
        Explanation.Admission admission = new Explanation.Admission(
                Optional.empty(),
                configuration.version(),
                configurationAgeMillis,
                preview.route().name(),
                request.account().map(AccountId::value).orElse("-"),
                OptionalInt.empty());
        return new Explanation(
                state.loadBalancer().permits().localHost(),
                Optional.of(id),
                admission,
                queueOffReason(preview.service()),
                request.relayed(),
                Optional.of(preview));
    }

    private Explanation explainUnsent(ExplainQuery.Unsent query) {
        Route route = route(query.address());
        Optional<ApiKeyOwner> owner = query.account().map(this::owner);
        AdmissionResult result =
                admissionPolicy.decide(configuration, Optional.of(route), owner, configurationAgeMillis);
        return switch (result) {
            case AdmissionResult.Rejected rejected ->
                explanation(admission(route, owner, Optional.of(rejected.rejection()), OptionalInt.empty()), "", null);
            case AdmissionResult.Admitted admitted -> explainAdmitted(query, admitted);
        };
    }

    private Explanation explainAdmitted(ExplainQuery.Unsent query, AdmissionResult.Admitted admitted) {
        Route route = admitted.route();
        ServiceDefinition service = configuration.service(route.selectService(random.nextDouble()));
        int priority = RequestForwarder.effectivePriority(route, admitted.keyOwner());
        RequestPreview preview = new RequestPreviewer(state, queues)
                .previewNew(
                        query.request().toAttributes(),
                        route,
                        service,
                        admitted.keyOwner(),
                        queues.applyTo(service, configuration),
                        random,
                        nowMillis);
        OptionalInt shownPriority = service.engine() ? OptionalInt.of(priority) : OptionalInt.empty();
        return explanation(
                admission(route, admitted.keyOwner(), Optional.empty(), shownPriority),
                queueOffReason(service),
                preview);
    }

    private Explanation explanation(Explanation.Admission admission, String queueOffReason, RequestPreview preview) {
        return new Explanation(
                state.loadBalancer().permits().localHost(),
                Optional.empty(),
                admission,
                queueOffReason,
                false,
                Optional.ofNullable(preview));
    }

    private Explanation.Admission admission(
            Route route, Optional<ApiKeyOwner> owner, Optional<Rejection> rejection, OptionalInt priority) {
        return new Explanation.Admission(
                rejection,
                configuration.version(),
                configurationAgeMillis,
                route.name(),
                owner.map(known -> known.account().value()).orElse("-"),
                priority);
    }

    private Route route(RouteAddress address) {
        Optional<Route> route = switch (address) {
            case RouteAddress.Named named ->
                configuration.routes().stream()
                        .filter(candidate -> candidate.name().equals(named.name()))
                        .findFirst();
            case RouteAddress.Located located -> configuration.route(located.host(), located.path());
        };
        return route.orElseThrow(() -> new ExplainException(
                ExplainError.UNKNOWN_ROUTE,
                "Version " + configuration.version() + " of the configuration has no such route. Its routes: "
                        + names(configuration.routes().stream()
                                .map(known -> known.name() + " (" + known.host() + known.pathPrefix() + ")")
                                .toList())
                        + "."));
    }

    private ApiKeyOwner owner(String account) {
        return configuration.keyOwners().stream()
                .filter(owner -> owner.account().value().equals(account))
                .findFirst()
                .orElseThrow(() -> new ExplainException(
                        ExplainError.UNKNOWN_ACCOUNT,
                        "Version " + configuration.version() + " of the configuration has no API key of the account \""
                                + account + "\". Check the name, or add the account to the configuration."));
    }

    private String queueOffReason(ServiceDefinition service) {
        if (queues.applyTo(service, configuration)) {
            return "";
        }
        if (!service.engine()) {
            return "the targets of the service are no engines";
        }
        return state.mechanisms().uses(Mechanism.HOST_QUEUE)
                ? "all requests of the service are of equal urgency"
                : "host-queue = false in the settings";
    }

    private static String names(List<String> names) {
        String listed = names.stream().limit(MAX_NAMES).collect(Collectors.joining(", "));
        return names.size() <= MAX_NAMES ? listed : listed + " and " + (names.size() - MAX_NAMES) + " more";
    }
}
