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
     * Returns whether a report shows that the response of the engine is lost. A request that is missing in the report is
     * no failure, because an engine lists a request only once its prompt has been prefilled.
     *
     * @param report report of the engine; empty if it is unavailable
     */
    boolean isResponseLost(Optional<EngineReport> report, String requestId, long lastEventId, long nowMillis) {
        if (report.isEmpty() || !silence.isSilentForReport(nowMillis)) {
            return false;
        }
        Long generated = report.get().eventsByRequest().get(requestId);
        return generated != null && generated > lastEventId + 1 + MAX_EVENTS_IN_TRANSIT;
    }
}
