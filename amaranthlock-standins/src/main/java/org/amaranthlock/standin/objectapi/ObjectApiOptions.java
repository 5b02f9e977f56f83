package org.amaranthlock.standin.objectapi;

/**
 * Settings of a platform stand-in.
 *
 * @param host the IP address to listen on
 * @param port the port, or 0 for an ephemeral port
 * @param writesPerSecond the maximum rate of writes and deletes
 * @param readsPerSecond the maximum rate of reads, lists, watches and host lists
 * @param hostListDelayMillis the delay of changes in the host list, in milliseconds
 */
public record ObjectApiOptions(
        String host, int port, double writesPerSecond, double readsPerSecond, long hostListDelayMillis) {
    /** Returns settings for tests: ephemeral loopback port, the specified rates of the platform and no delay. */
    public static ObjectApiOptions defaults() {
        return new ObjectApiOptions("127.0.0.1", 0, 300, 2000, 0);
    }
}
