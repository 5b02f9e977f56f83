package org.amaranthlock.entry.control;

/** Receives what the frequent reads of the configuration show about this host's link to the store. */
public interface StoreLinkListener {
    /** Called when a call got no response; other open connections may have gone silent as well. */
    void onStoreSilent();

    /** Called when the store has responded, if only by a rejection. */
    void onStoreResponded();

    /** Returns a listener that does nothing. */
    static StoreLinkListener none() {
        return new StoreLinkListener() {
            @Override
            public void onStoreSilent() {}

            @Override
            public void onStoreResponded() {}
        };
    }
}
