package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.OptionalLong;
import org.amaranthlock.coordination.estimate.PrefillEstimates;

/** Tells whether the first event of a stream can arrive before its deadline, and learns from the first events. */
final class FirstEventForecast {
    private final ServiceDefinition service;
    private final long promptTokens;
    private final PrefillEstimates estimates;
    private final Mechanisms mechanisms;

    FirstEventForecast(
            ServiceDefinition service,
            RequestAttributes attributes,
            PrefillEstimates estimates,
            Mechanisms mechanisms) {
        this.service = Objects.requireNonNull(service, "service");
        this.promptTokens = attributes.lastPromptPart().map(PromptPart::tokens).orElse(0L);
        this.estimates = Objects.requireNonNull(estimates, "prefill estimates");
        this.mechanisms = Objects.requireNonNull(mechanisms, "mechanisms");
    }

    /** Returns whether the engine of an attempt does not hold the prompt and cannot prefill it before the deadline. */
    boolean isTooLate(RetryTargets.Destination destination, long deadlineMillis, long nowMillis) {
        if (destination.holdsPrompt() || !service.engine() || !mechanisms.uses(Mechanism.DEADLINE_REJECTION)) {
            return false;
        }
        OptionalLong prefillMillis = estimates.minPrefillMillis(service.name(), promptTokens);
        return prefillMillis.isPresent() && nowMillis + prefillMillis.getAsLong() >= deadlineMillis;
    }

    /** Records that an engine sent the first event {@code waitMillis} after it got the prompt, which it did not hold. */
    void recordFirstEvent(long waitMillis) {
        if (service.engine()) {
            estimates.recordFirstEvent(service.name(), promptTokens, waitMillis);
        }
    }
}
