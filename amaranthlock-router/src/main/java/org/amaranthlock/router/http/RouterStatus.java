package org.amaranthlock.router.http;

/**
 * Snapshot of the router's state for threads other than the control thread.
 *
 * @param configurationReady whether the router has a complete configuration
 * @param draining whether the graceful shutdown has begun
 * @param configurationRevision global revision of the configuration in force
 */
public record RouterStatus(boolean configurationReady, boolean draining, long configurationRevision) {
    /** Status before the first tick of the control loop. */
    public static final RouterStatus STARTING = new RouterStatus(false, false, 0);

    /** Returns whether the router accepts new requests. */
    public boolean ready() {
        return configurationReady && !draining;
    }
}
