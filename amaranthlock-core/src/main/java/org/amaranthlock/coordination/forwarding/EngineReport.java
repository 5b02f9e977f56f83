package org.amaranthlock.coordination.forwarding;

import java.util.Map;

/**
 * What an engine says of its work; some hundred milliseconds old when it arrives.
 *
 * @param queueLength requests that wait
 * @param eventsByRequest events made so far, by the id of each running request
 */
public record EngineReport(int queueLength, Map<String, Long> eventsByRequest) {
    public EngineReport {
        eventsByRequest = Map.copyOf(eventsByRequest);
    }
}
