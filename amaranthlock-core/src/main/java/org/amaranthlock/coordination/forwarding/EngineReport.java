package org.amaranthlock.coordination.forwarding;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Report of an engine on its queue and its generating requests; some hundred milliseconds old when it arrives.
 *
 * @param queueLength number of waiting requests
 * @param eventsByRequest number of events generated so far by request id
 * @param startedAtMillis start of the engine's process in Unix milliseconds; empty if unknown
 */
public record EngineReport(int queueLength, Map<String, Long> eventsByRequest, OptionalLong startedAtMillis) {
    public EngineReport {
        eventsByRequest = Map.copyOf(eventsByRequest);
        Objects.requireNonNull(startedAtMillis, "start time");
    }

    /** Creates a report of an engine whose start time is unknown. */
    public EngineReport(int queueLength, Map<String, Long> eventsByRequest) {
        this(queueLength, eventsByRequest, OptionalLong.empty());
    }

    /** Returns whether the engine was restarted after {@code target} was registered, and so has lost all its runs. */
    boolean isOfSuccessor(EntryTarget target) {
        return target.startedAtMillis() > 0
                && startedAtMillis.isPresent()
                && startedAtMillis.getAsLong() > target.startedAtMillis();
    }
}
