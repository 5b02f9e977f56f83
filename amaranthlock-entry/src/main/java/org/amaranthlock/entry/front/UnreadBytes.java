package org.amaranthlock.entry.front;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.Arguments;

/**
 * Limits the bytes that were written to clients and not yet read by them, by pausing reads from targets.
 *
 * <p>Load pattern: many clients read almost nothing while their targets send at full speed. A target aborts a response
 * that is not read, so reading continues while the total of unread bytes is within its limit. Above it, the streams
 * with the most unread bytes are paused first, then each one that still grows. A paused stream resumes when its client
 * has read half of the bytes that were unread at the pause. If the total grows nevertheless, the largest stream is
 * ended. Not thread-safe.
 */
public final class UnreadBytes {
    /** Divisor of the maximum heap size for the limit above which streams are paused. */
    private static final int PAUSE_HEAP_DIVISOR = 6;

    /** Divisor of the maximum heap size for the limit above which streams are ended. */
    private static final int END_HEAP_DIVISOR = 4;

    /** Unread bytes of one stream above which it is paused regardless of the total. */
    private static final long MAX_STREAM_BYTES = 512 * 1024;

    private final long pauseBytes;
    private final long endBytes;
    private final Map<Stream, State> streams = new IdentityHashMap<>();
    private long totalBytes;

    /**
     * Connection to a client. Implementations of {@link #pause} and {@link #resume} must not change the unread bytes
     * before they return; {@link #end} may.
     */
    interface Stream {
        /** Stops reading from the target. */
        void pause();

        /** Resumes reading from the target. */
        void resume();

        /** Aborts the stream. */
        void end();
    }

    private static final class State {
        private long bytes;
        private boolean paused;
        private long resumeBytes;
    }

    /**
     * Creates a limit.
     *
     * @param pauseBytes unread bytes of all clients from which on streams are paused
     * @param endBytes unread bytes of all clients from which on streams are ended
     */
    public UnreadBytes(long pauseBytes, long endBytes) {
        this.pauseBytes = Arguments.requirePositive(pauseBytes, "bytes before a pause");
        this.endBytes = Arguments.requirePositive(endBytes, "bytes before an end");
    }

    /** Returns a limit that depends on the maximum heap size of this process. */
    public static UnreadBytes ofHeap() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new UnreadBytes(heapBytes / PAUSE_HEAP_DIVISOR, heapBytes / END_HEAP_DIVISOR);
    }

    /** Returns the number of unread bytes of all clients. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Records bytes that are written to a client. */
    void add(Stream stream, long bytes) {
        Objects.requireNonNull(stream, "stream");
        State state = streams.computeIfAbsent(stream, _ -> new State());
        state.bytes += bytes;
        totalBytes += bytes;
        if (totalBytes > endBytes) {
            largest(false).ifPresent(Stream::end);
        } else if (totalBytes > pauseBytes) {
            largest(true).ifPresent(this::pause);
            pause(stream);
        } else if (state.bytes > MAX_STREAM_BYTES) {
            pause(stream);
        }
    }

    /** Records bytes that a client has read, or that will never be sent to it. */
    void remove(Stream stream, long bytes) {
        State state = streams.get(stream);
        state.bytes -= bytes;
        totalBytes -= bytes;
        if (state.bytes == 0) {
            streams.remove(stream);
        }
        if (state.paused && state.bytes <= state.resumeBytes) {
            state.paused = false;
            stream.resume();
        }
    }

    private void pause(Stream stream) {
        State state = streams.get(stream);
        if (state != null && !state.paused) {
            state.paused = true;
            state.resumeBytes = state.bytes / 2;
            stream.pause();
        }
    }

    private Optional<Stream> largest(boolean onlyUnpaused) {
        return streams.entrySet().stream()
                .filter(stream -> !onlyUnpaused || !stream.getValue().paused)
                .max(Comparator.comparingLong(stream -> stream.getValue().bytes))
                .map(Map.Entry::getKey);
    }
}
