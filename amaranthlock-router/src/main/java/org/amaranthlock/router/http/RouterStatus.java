package org.amaranthlock.router.http;

/**
 * State of the router as other threads than the control thread may see it.
 *
 * @param configurationReady whether a complete configuration is held
 * @param draining whether the graceful shutdown has begun
 * @param configurationRevision global revision of the configuration in force
 */
public record RouterStatus(boolean configurationReady, boolean draining, long configurationRevision) {
    /** State before the first tick. */
    public static final RouterStatus STARTING = new RouterStatus(false, false, 0);

    /** Tells whether the router may be given new requests. */
    public boolean ready() {
        return configurationReady && !draining;
    }
}
