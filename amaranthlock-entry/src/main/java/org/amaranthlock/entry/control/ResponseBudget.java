package org.amaranthlock.entry.control;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerFrame;

/**
 * Bounds what responses with data from the store take of the link of this host, on which requests travel too.
 *
 * <p>Load pattern: many hosts start at once, or many targets change at once, and all hosts of a failure domain ask the one
 * that reads the store for them. Those that get no response in full read the store themselves. Not thread-safe.
 */
public final class ResponseBudget {
    /** A fifth of the narrowest link of a deployment, which has 7 Mbit/s. */
    private static final int BYTES_PER_SECOND = 175_000;

    /** Bytes that may be sent at once; that link carries them in 75 ms. */
    private static final int BURST_BYTES = 64 << 10;

    /** The same while this host starts, has few requests of its own, and all others may wait for what it has read. */
    private static final int START_BYTES = 512 << 10;

    private static final long START_MILLIS = 2_000;

    private final LongSupplier clockMillis;
    private final DecisionLog log;
    private final long startedAtMillis;
    private long availableBytes = START_BYTES;
    private long refilledAtMillis;

    /** Creates a budget of which nothing is used. */
    public ResponseBudget(LongSupplier clockMillis, DecisionLog log) {
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.startedAtMillis = clockMillis.getAsLong();
        this.refilledAtMillis = startedAtMillis;
    }

    /** Takes the bytes of a message from the budget; returns whether it had as many. */
    boolean tryTake(EntryPeerMessage message) {
        refill();
        int bytes = PeerFrame.of(message).bytes();
        if (bytes > availableBytes) {
            String type = message.getClass().getSimpleName();
            log.write("response-left-out", "type", type, "bytes", bytes, "available_bytes", availableBytes);
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    private void refill() {
        long nowMillis = clockMillis.getAsLong();
        long refill = Math.max(0, nowMillis - refilledAtMillis) * BYTES_PER_SECOND / 1_000;
        int limit = nowMillis - startedAtMillis < START_MILLIS ? START_BYTES : BURST_BYTES;
        availableBytes = Math.min(limit, availableBytes + refill);
        refilledAtMillis = nowMillis;
    }
}
