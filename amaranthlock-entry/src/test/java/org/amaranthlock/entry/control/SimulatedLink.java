package org.amaranthlock.entry.control;

/** One direction of the link of a host, which carries one message after the other, in virtual time. */
final class SimulatedLink {
    /** Bytes that the narrowest link of deployments, of 7 Mbit/s, carries in a millisecond. */
    static final double NARROWEST_BYTES_PER_MILLI = 875;

    /**
     * Longest time for which messages of the hosts may keep a request waiting at a link. A request and its answer pass the
     * links of their host four times, and an answer half a second after the time limit of a request is late.
     */
    static final int MAX_QUEUE_MILLIS = 500 / 4;

    /** Headers of TCP and IP. */
    private static final int HEADER_BYTES = 40;

    private final double bytesPerMilli;
    private double freeAtMillis;
    private double longestQueueMillis;

    SimulatedLink(double bytesPerMilli) {
        this.bytesPerMilli = bytesPerMilli;
    }

    /** Returns when a message that is handed over at a time has passed. */
    double pass(int bytes, double atMillis) {
        freeAtMillis = Math.max(freeAtMillis, atMillis) + (bytes + HEADER_BYTES) / bytesPerMilli;
        longestQueueMillis = Math.max(longestQueueMillis, freeAtMillis - atMillis);
        return freeAtMillis;
    }

    /** Returns the longest time for which something handed over would have waited since the last call. */
    double takeLongestQueueMillis() {
        double longest = longestQueueMillis;
        longestQueueMillis = 0;
        return longest;
    }
}
