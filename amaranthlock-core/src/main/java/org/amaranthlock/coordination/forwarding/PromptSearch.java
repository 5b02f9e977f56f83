package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Search for the engine that holds the prompt of a stream that its client resumes. Such a client has mostly lost its host,
 * and no other host knows the engine of the stream. Not thread-safe.
 */
final class PromptSearch {
    private final RequestAttributes attributes;
    private final ServiceDefinition service;
    private final TargetLoadBalancer loadBalancer;
    private final Mechanisms mechanisms;
    private final ForwardingPort port;
    private boolean running;

    PromptSearch(
            RequestAttributes attributes,
            ServiceDefinition service,
            TargetLoadBalancer loadBalancer,
            Mechanisms mechanisms,
            ForwardingPort port) {
        this.attributes = Objects.requireNonNull(attributes, "attributes");
        this.service = Objects.requireNonNull(service, "service");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.mechanisms = Objects.requireNonNull(mechanisms, "mechanisms");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Returns whether an engine may hold the prompt. */
    boolean isUseful() {
        return service.engine()
                && mechanisms.uses(Mechanism.PROMPT_LOCATION)
                && attributes.lastEventId().isPresent()
                && attributes.lastPromptPart().isPresent();
    }

    /**
     * Asks the engines which of them holds the prompt; the search runs until {@link #end}.
     *
     * @param version version that the engine must run; empty if it is not known yet
     */
    void start(Optional<SoftwareVersion> version, long nowMillis) {
        running = true;
        port.locatePrompt(
                attributes.lastPromptPart().orElseThrow(),
                loadBalancer.reachableTargets(service.name(), nowMillis),
                version);
    }

    boolean running() {
        return running;
    }

    /** Ends the search; returns whether it was running. */
    boolean end() {
        boolean wasRunning = running;
        running = false;
        return wasRunning;
    }
}
