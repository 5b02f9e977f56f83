package org.amaranthlock.coordination.forwarding;

import org.amaranthlock.model.Arguments;

/**
 * Limits on the size and duration of client requests.
 *
 * @param maxHeaderBytes maximum size of request line and headers, in bytes
 * @param maxBodyBytes maximum size of a body, in bytes
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of its headers, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration is known. */
    public static final RequestLimits INITIAL = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

    public RequestLimits {
        Arguments.requirePositive(maxHeaderBytes, "max header bytes");
        Arguments.requirePositive(maxBodyBytes, "max body bytes");
        Arguments.requirePositive(headerTimeoutMillis, "header timeout");
        Arguments.requirePositive(idleTimeoutMillis, "idle timeout");
    }
}
