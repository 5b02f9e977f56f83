package org.amaranthlock.coordination.region;

/** What the bytes on a link between regions are for. */
public enum LinkUse {
    /** Requests to targets and their answers. */
    ANSWERS("answers", false),

    /** Requests that another host serves, and their answers. */
    RELAYS("relays", false),

    /** Copies of KV caches between engines, by their estimated size. */
    KV_CACHE_COPIES("kv-cache-copies", true),

    /** Load reports of the hosts. */
    LOAD_REPORTS("load-reports", false),

    /** Other messages between hosts. */
    PEER_MESSAGES("peer-messages", false),

    /** Calls to the store. */
    STORE_CALLS("store-calls", false);

    private final String label;
    private final boolean bulk;

    LinkUse(String label, boolean bulk) {
        this.label = label;
        this.bulk = bulk;
    }

    /** Returns the name of the use in metrics. */
    public String label() {
        return label;
    }

    /** Returns whether the bytes are bulk traffic, which no request waits for and which may be left out. */
    public boolean bulk() {
        return bulk;
    }
}
