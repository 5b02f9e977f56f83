package org.amaranthlock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/** Currently injected faults of an engine. Thread-safe. */
final class EngineFaults {
    private double slowFactor = 1;
    private boolean draining;
    private String crashOnPrompt = "";
    private long stalledUntilMillis = Long.MIN_VALUE;

    /** Applies the faults present in a JSON object and leaves all others unchanged. */
    synchronized void apply(JsonNode faults, long nowMillis) {
        slowFactor = faults.path("slowFactor").asDouble(slowFactor);
        draining = faults.path("drain").asBoolean(draining);
        crashOnPrompt = faults.path("crashOnPrompt").asText(crashOnPrompt);
        if (faults.has("stallMillis")) {
            stalledUntilMillis = nowMillis + faults.path("stallMillis").asLong();
        }
    }

    synchronized double slowFactor() {
        return slowFactor;
    }

    synchronized boolean draining() {
        return draining;
    }

    synchronized boolean crashesOn(String prompt) {
        return !crashOnPrompt.isEmpty() && prompt.contains(crashOnPrompt);
    }

    synchronized long remainingStallMillis(long nowMillis) {
        return stalledUntilMillis == Long.MIN_VALUE ? 0 : Math.max(0, stalledUntilMillis - nowMillis);
    }
}
