package org.amaranthlock.coordination.targetlimit;

/** Listener for changes of the limits that a host knows. */
public interface LimitListener {
    /**
     * Called when a target has named a limit, changed it or stopped naming one.
     *
     * @param source {@code response}, or the name of the host that reported it
     */
    void onLimitChanged(KnownLimit limit, String source);

    /** Called when a run of a target names a limit that cannot be used, for the first such response. */
    void onUnusableLimit(TargetIncarnation target, String text);

    /** Returns a listener that ignores all changes. */
    static LimitListener none() {
        return new LimitListener() {
            @Override
            public void onLimitChanged(KnownLimit limit, String source) {}

            @Override
            public void onUnusableLimit(TargetIncarnation target, String text) {}
        };
    }
}
