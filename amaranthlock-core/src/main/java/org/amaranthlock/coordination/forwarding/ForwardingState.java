package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.estimate.PrefillEstimates;
import org.amaranthlock.coordination.promptpart.PromptPartGuard;
import org.amaranthlock.coordination.streamversion.RegisteredVersions;
import org.amaranthlock.coordination.streamversion.StreamVersions;

/**
 * What a host knows of targets and requests, which all its requests share.
 *
 * @param loadBalancer load and failures of the targets
 * @param crashHistory crashes under equal requests
 * @param promptPartGuard crashes under requests that share a part of their prompts
 * @param prefillEstimates time that engines take to prefill prompts
 * @param streamVersions versions at which event streams began
 * @param registeredVersions versions of the registered targets
 * @param mechanisms mechanisms that are used
 * @param reservations reservations of engines; empty if streams are placed without
 */
public record ForwardingState(
        TargetLoadBalancer loadBalancer,
        CrashHistory crashHistory,
        PromptPartGuard promptPartGuard,
        PrefillEstimates prefillEstimates,
        StreamVersions streamVersions,
        RegisteredVersions registeredVersions,
        Mechanisms mechanisms,
        Optional<EngineReservations> reservations) {
    public ForwardingState {
        Objects.requireNonNull(loadBalancer, "load balancer");
        Objects.requireNonNull(crashHistory, "crash history");
        Objects.requireNonNull(promptPartGuard, "prompt part guard");
        Objects.requireNonNull(prefillEstimates, "prefill estimates");
        Objects.requireNonNull(streamVersions, "stream versions");
        Objects.requireNonNull(registeredVersions, "registered versions");
        Objects.requireNonNull(mechanisms, "mechanisms");
        Objects.requireNonNull(reservations, "reservations");
    }

    /** Creates the state of a host that places streams without reservations. */
    public ForwardingState(
            TargetLoadBalancer loadBalancer,
            CrashHistory crashHistory,
            PromptPartGuard promptPartGuard,
            PrefillEstimates prefillEstimates,
            StreamVersions streamVersions,
            RegisteredVersions registeredVersions,
            Mechanisms mechanisms) {
        this(
                loadBalancer,
                crashHistory,
                promptPartGuard,
                prefillEstimates,
                streamVersions,
                registeredVersions,
                mechanisms,
                Optional.empty());
    }
}
