package org.amaranthlock.coordination.forwarding;

import org.amaranthlock.model.Arguments;

/**
 * Bounds on what a client sends and on how long it takes.
 *
 * @param maxHeaderBytes most bytes of request line and headers
 * @param maxBodyBytes most bytes of a body
 * @param headerTimeoutMillis longest time from the first byte of a request to the end of its headers, milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, milliseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits until a configuration is known. */
    public static final RequestLimits INITIAL = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

    public RequestLimits {
        Arguments.requirePositive(maxHeaderBytes, "max header bytes");
        Arguments.requirePositive(maxBodyBytes, "max body bytes");
        Arguments.requirePositive(headerTimeoutMillis, "header timeout");
        Arguments.requirePositive(idleTimeoutMillis, "idle timeout");
    }
}
