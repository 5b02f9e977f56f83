package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * Checks of the target of a silent stream: whether its host accepts connections and whether its engine has generated
 * events that did not arrive. Not thread-safe.
 */
final class StreamTargetChecks {
    /** Events that may be in transit when an engine reports that it has generated them. */
    private static final long MAX_EVENTS_IN_TRANSIT = 2;

    private final ServiceDefinition service;
    private final SilenceMonitor silence;
    private final AttemptPermits permits;
    private final ForwardingPort port;

    StreamTargetChecks(ServiceDefinition service, SilenceMonitor silence, AttemptPermits permits, ForwardingPort port) {
        this.service = Objects.requireNonNull(service, "service");
        this.silence = Objects.requireNonNull(silence, "silence");
        this.permits = Objects.requireNonNull(permits, "permits");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Starts the checks that are due; an engine that limits its requests is not asked for a report. */
    void start(Attempt attempt, boolean generating, long nowMillis) {
        if (silence.isProbeDue(generating, nowMillis)) {
            silence.recordProbe(nowMillis);
            port.probe(attempt);
        }
        boolean reports = service.engine() && permits.acceptsCalls(attempt.target(), nowMillis);
        if (reports && silence.isReportDue(generating, nowMillis)) {
            silence.recordReportRequest(nowMillis);
            port.requestEngineReport(attempt);
        }
    }

    /**
     * Returns why a report shows that the attempt is lost: the engine has started again, or has generated events that did
     * not arrive. A request that is missing in the report is no failure, because an engine lists a request only once its
     * prompt has been prefilled.
     *
     * @param report report of the engine; empty if it is unavailable
     */
    Optional<String> lossCause(
            EntryTarget target, Optional<EngineReport> report, String requestId, long lastEventId, long nowMillis) {
        if (report.isPresent() && report.get().isOfSuccessor(target)) {
            return Optional.of(RetryTargets.RESTARTED);
        }
        if (report.isEmpty() || !silence.isSilentForReport(nowMillis)) {
            return Optional.empty();
        }
        Long generated = report.get().eventsByRequest().get(requestId);
        boolean missing = generated != null && generated > lastEventId + 1 + MAX_EVENTS_IN_TRANSIT;
        return missing ? Optional.of("events-missing") : Optional.empty();
    }
}
