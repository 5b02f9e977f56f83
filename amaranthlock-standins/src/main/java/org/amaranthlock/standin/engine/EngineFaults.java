package org.amaranthlock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/** Faults of an engine that are in force; thread-safe. */
final class EngineFaults {
    private double slowFactor = 1;
    private boolean drain;
    private String crashOnPrompt = "";
    private long stalledUntilMillis = Long.MIN_VALUE;

    /** Sets the faults named in a JSON object; others stay as they are. */
    synchronized void apply(JsonNode faults, long nowMillis) {
        slowFactor = faults.path("slowFactor").asDouble(slowFactor);
        drain = faults.path("drain").asBoolean(drain);
        crashOnPrompt = faults.path("crashOnPrompt").asText(crashOnPrompt);
        if (faults.has("stallMillis")) {
            stalledUntilMillis = nowMillis + faults.path("stallMillis").asLong();
        }
    }

    synchronized double slowFactor() {
        return slowFactor;
    }

    synchronized boolean drain() {
        return drain;
    }

    synchronized boolean crashesOn(String prompt) {
        return !crashOnPrompt.isEmpty() && prompt.contains(crashOnPrompt);
    }

    synchronized long stallLeftMillis(long nowMillis) {
        return stalledUntilMillis == Long.MIN_VALUE ? 0 : Math.max(0, stalledUntilMillis - nowMillis);
    }
}
