package org.amaranthlock.standin.objectapi;

import com.fasterxml.jackson.databind.JsonNode;

/** Currently injected faults of the platform. Thread-safe. */
final class ObjectApiFaults {
    private boolean outage;
    private boolean rejectWrites;
    private long slowMillis;
    private int writeResponsesToDrop;

    /** Applies the faults present in a JSON object and leaves all others unchanged. */
    synchronized void apply(JsonNode faults) {
        outage = faults.path("outage").asBoolean(outage);
        rejectWrites = faults.path("refuseWrites").asBoolean(rejectWrites);
        slowMillis = faults.path("slowMillis").asLong(slowMillis);
        writeResponsesToDrop = faults.path("loseNextWriteAnswers").asInt(writeResponsesToDrop);
    }

    synchronized boolean outage() {
        return outage;
    }

    synchronized boolean rejectWrites() {
        return rejectWrites;
    }

    synchronized long slowMillis() {
        return slowMillis;
    }

    /** Returns whether to drop the response to a completed write, and decrements the number of responses to drop. */
    synchronized boolean consumeDroppedResponse() {
        if (writeResponsesToDrop == 0) {
            return false;
        }
        writeResponsesToDrop--;
        return true;
    }
}
