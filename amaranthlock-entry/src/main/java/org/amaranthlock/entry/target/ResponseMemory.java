package org.amaranthlock.entry.target;

import org.amaranthlock.model.Arguments;

/**
 * Memory for responses that are not complete yet, which all connections to targets share. Targets may send as much as
 * their connections carry, on all of them at once. Not thread-safe.
 */
public final class ResponseMemory {
    /** Part of the heap that unfinished responses may use. */
    private static final int HEAP_DIVISOR = 6;

    private final long maxBytes;
    private long usedBytes;

    /** Creates a memory of {@code maxBytes} bytes. */
    public ResponseMemory(long maxBytes) {
        this.maxBytes = Arguments.requirePositive(maxBytes, "max bytes");
    }

    /** Returns a memory that is a part of the heap of this process. */
    public static ResponseMemory ofHeap() {
        return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** Reserves bytes; returns false, and reserves nothing, if fewer are left. */
    boolean tryReserve(long bytes) {
        if (usedBytes + bytes > maxBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Releases bytes that were reserved. */
    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Returns the number of reserved bytes. */
    long usedBytes() {
        return usedBytes;
    }
}
