package org.amaranthlock.coordination.forwarding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthlock.coordination.contention.AdmissionVerdict;
import org.amaranthlock.coordination.forwarding.RequestPreview.QueueState;
import org.amaranthlock.coordination.forwarding.RequestPreview.VersionState;
import org.amaranthlock.coordination.rollout.RolloutGate;
import org.amaranthlock.model.PromptPartId;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Tells where a request would go now, by the code that decides on requests and without a change of what the host has
 * learned or counted. Not thread-safe.
 */
public final class RequestPreviewer {
    private final ForwardingState state;
    private final TargetLoadBalancer loadBalancer;
    private final StreamQueues queues;

    /** Creates a previewer for the host that has this state. */
    public RequestPreviewer(ForwardingState state, StreamQueues queues) {
        this.state = Objects.requireNonNull(state, "state");
        this.loadBalancer = state.loadBalancer();
        this.queues = Objects.requireNonNull(queues, "queues");
    }

    /**
     * Returns where a request that arrives now would go.
     *
     * @param queued whether it may wait in the queues of this host
     * @param random copy of the random generator with which the host decides, in its present state
     */
    public RequestPreview previewNew(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            Optional<ApiKeyOwner> owner,
            boolean queued,
            UniformRandomProvider random,
            long nowMillis) {
        long deadlineMillis = nowMillis + attributes.timeLeftMillis(route.timeoutMillis());
        StreamAdmission admission =
                new StreamAdmission(attributes, route, service, loadBalancer, (_, _) -> {}, (_, _) -> {});
        RetryTargets retryTargets =
                new RetryTargets(loadBalancer, service, attributes.tokens(), route.kind(), state.mechanisms());
        if (queued) {
            admission.queueBy(queues, owner);
            retryTargets.avoidPreemption();
        }
        AdmissionVerdict verdict = admission.preview(deadlineMillis, random, nowMillis);
        AttemptPreviewer attempts = new AttemptPreviewer(
                service,
                attributes.tokens(),
                loadBalancer,
                retryTargets,
                KvCacheBackup.isPossible(route, service, state.mechanisms()),
                new FirstEventForecast(service, attributes, state.prefillEstimates(), state.mechanisms()));
        return new RequestPreview(
                route,
                service,
                loadBalancer.shouldRelay(service.name(), nowMillis),
                versions(service.name(), nowMillis),
                queueState(service, queued, nowMillis),
                Optional.of(verdict),
                suspects(attributes.sharedPromptParts(), nowMillis),
                attempts.preview(random, deadlineMillis, nowMillis),
                loadBalancer.remoteReports().ages(nowMillis),
                Optional.empty());
    }

    /**
     * Returns where the next attempt of a request in progress would go, if it was sent now.
     *
     * @param queued tells whether requests for a service may wait in the queues of this host
     */
    public RequestPreview previewNext(
            ForwardedRequest request,
            Predicate<ServiceDefinition> queued,
            UniformRandomProvider random,
            long nowMillis) {
        RequestInProgress parts = request.inProgress();
        ServiceDefinition service = parts.admission().service();
        return new RequestPreview(
                parts.admission().route(),
                service,
                loadBalancer.shouldRelay(service.name(), nowMillis),
                versions(service.name(), nowMillis),
                queueState(service, queued.test(service), nowMillis),
                Optional.empty(),
                suspects(parts.admission().attributes().sharedPromptParts(), nowMillis),
                parts.previewAttempt(loadBalancer, random, nowMillis),
                loadBalancer.remoteReports().ages(nowMillis),
                Optional.of(parts.progress(nowMillis)));
    }

    private List<PromptPartId> suspects(List<PromptPartId> parts, long nowMillis) {
        boolean tried = state.mechanisms().uses(Mechanism.PROMPT_PART_TRIALS);
        return tried ? List.copyOf(state.promptPartGuard().suspects(parts, nowMillis)) : List.of();
    }

    private QueueState queueState(ServiceDefinition service, boolean queued, long nowMillis) {
        return queued
                ? new QueueState(true, queues.length(service.name()), queues.share(service, nowMillis))
                : QueueState.OFF;
    }

    private List<VersionState> versions(ServiceName service, long nowMillis) {
        RolloutGate gate = loadBalancer.rolloutGate();
        Map<SoftwareVersion, List<EntryTarget>> byVersion = new LinkedHashMap<>();
        loadBalancer
                .targets(service)
                .forEach(target -> byVersion
                        .computeIfAbsent(target.version(), _ -> new ArrayList<>())
                        .add(target));
        return byVersion.entrySet().stream()
                .map(entry -> new VersionState(
                        entry.getKey(), entry.getValue().size(), gate.allows(service, entry.getKey(), nowMillis), (int)
                                entry.getValue().stream()
                                        .filter(target ->
                                                gate.prefers(service, target.version(), target.id(), nowMillis))
                                        .count()))
                .toList();
    }
}
