package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.streamversion.StreamKey;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Steps before the first attempt of a stream that its client resumes: which version began it, and which engine holds its
 * prompt. Such a client has mostly lost its host, so that this host may know neither. Not thread-safe.
 */
final class StreamResumption {
    /** Retry delay for a client whose stream's version is not known, in milliseconds; hosts may be connecting. */
    private static final long VERSION_UNKNOWN_RETRY_MILLIS = 500;

    private final RequestAttributes attributes;
    private final Route route;
    private final ServiceDefinition service;
    private final ForwardingState state;
    private final RetryTargets retryTargets;
    private final PromptSearch promptSearch;
    private final DecisionRecorder decisions;
    private final ForwardingPort port;
    private final Dispatcher dispatcher;
    private final Rejector rejector;
    private boolean askingHosts;

    /** Sends the request after the last step. */
    @FunctionalInterface
    interface Dispatcher {
        /** Sends the request to the engine that holds the prompt, or if none was found to any that can start in time. */
        void dispatch(boolean holderFound, long nowMillis);
    }

    /** Ends the request. */
    @FunctionalInterface
    interface Rejector {
        /** Rejects the request, whose stream cannot be resumed. */
        void reject(Rejection rejection, long nowMillis);
    }

    StreamResumption(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            ForwardingState state,
            RetryTargets retryTargets,
            DecisionRecorder decisions,
            ForwardingPort port,
            Dispatcher dispatcher,
            Rejector rejector) {
        this.attributes = Objects.requireNonNull(attributes, "attributes");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.state = Objects.requireNonNull(state, "state");
        this.retryTargets = Objects.requireNonNull(retryTargets, "retry targets");
        this.promptSearch = new PromptSearch(attributes, service, state.loadBalancer(), state.mechanisms(), port);
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.port = Objects.requireNonNull(port, "port");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.rejector = Objects.requireNonNull(rejector, "rejector");
    }

    /** Returns whether the request is a stream that its client resumes. */
    boolean isNeeded() {
        return route.kind() == RouteKind.STREAMING && attributes.lastEventId().isPresent();
    }

    /** Returns whether an answer of hosts or engines is awaited. */
    boolean running() {
        return askingHosts || promptSearch.running();
    }

    /** Starts with the version, which this host may know. */
    void start(long nowMillis) {
        if (retryTargets.streamVersion().isPresent()) {
            searchPrompt(nowMillis);
            return;
        }
        StreamKey stream = StreamKey.of(attributes.beginningAttempt());
        Optional<SoftwareVersion> known = state.streamVersions().version(stream);
        if (known.isPresent()) {
            bind(known.get(), "local", nowMillis);
            searchPrompt(nowMillis);
        } else {
            askingHosts = true;
            port.askStreamVersion(stream);
        }
    }

    /** Handles the answer of the other hosts; empty if none knows the version. */
    void onVersionAnswered(Optional<SoftwareVersion> version, long nowMillis) {
        if (!askingHosts) {
            return;
        }
        askingHosts = false;
        version.ifPresent(told -> bind(told, "peers", nowMillis));
        searchPrompt(nowMillis);
    }

    /** Handles the answer of the engines. */
    void onPromptLocated(PromptHolders holders, long nowMillis) {
        if (promptSearch.end()) {
            finish(holders, nowMillis);
        }
    }

    /** Ends all searches, whose answers are ignored from now on. */
    void end() {
        askingHosts = false;
        promptSearch.end();
    }

    private void searchPrompt(long nowMillis) {
        if (promptSearch.isUseful() && !retryTargets.isVersionGone()) {
            promptSearch.start(retryTargets.streamVersion(), nowMillis);
        } else {
            finish(PromptHolders.NONE, nowMillis);
        }
    }

    private void finish(PromptHolders holders, long nowMillis) {
        if (retryTargets.streamVersion().isEmpty()) {
            inferVersion(holders, nowMillis);
        }
        if (retryTargets.streamVersion().isEmpty()) {
            rejector.reject(Rejection.retryLater(VERSION_UNKNOWN_RETRY_MILLIS, "version-unknown"), nowMillis);
        } else if (retryTargets.isVersionGone()) {
            rejector.reject(Rejection.of(503, RetryTargets.VERSION_GONE), nowMillis);
        } else {
            holders.best().ifPresent(retryTargets::preferHolder);
            dispatcher.dispatch(holders.best().isPresent(), nowMillis);
        }
    }

    private void inferVersion(PromptHolders holders, long nowMillis) {
        Optional<SoftwareVersion> held = holders.onlyVersion();
        if (held.isPresent()) {
            bind(held.get(), "engines", nowMillis);
            return;
        }
        state.registeredVersions()
                .onlyVersion(service.name(), route.timeoutMillis(), nowMillis)
                .ifPresent(only -> bind(only, "registered", nowMillis));
    }

    private void bind(SoftwareVersion version, String source, long nowMillis) {
        retryTargets.bindTo(version);
        decisions.record("stream-version", Optional.empty(), source + " " + version, 0, nowMillis);
    }
}
