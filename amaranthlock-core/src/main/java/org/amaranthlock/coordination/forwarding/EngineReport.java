package org.amaranthlock.coordination.forwarding;

import java.util.Map;

/**
 * Report of an engine on its queue and its generating requests; some hundred milliseconds old when it arrives.
 *
 * @param queueLength number of waiting requests
 * @param eventsByRequest number of events generated so far by request id
 */
public record EngineReport(int queueLength, Map<String, Long> eventsByRequest) {
    public EngineReport {
        eventsByRequest = Map.copyOf(eventsByRequest);
    }
}
