package org.amaranthlock.transport.peer;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.amaranthlock.protocol.peer.PeerMessage;

/** Frames that wait for a connection, bounded in bytes; old heartbeats give way first. Not thread-safe. */
final class OutboundQueue {
    private final long maxBytes;
    private final ArrayDeque<Frame> frames = new ArrayDeque<>();
    private long bytes;

    private record Frame(byte[] bytes, boolean heartbeat) {}

    OutboundQueue(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds a frame, dropping the oldest heartbeats if the queue is full.
     *
     * @return false if the queue is full without any heartbeat; the frame was not added
     */
    boolean add(byte[] frame, PeerMessage message) {
        if (bytes + frame.length > maxBytes) {
            dropHeartbeats(bytes + frame.length - maxBytes);
        }
        if (bytes + frame.length > maxBytes) {
            return false;
        }
        frames.add(new Frame(frame, isHeartbeat(message)));
        bytes += frame.length;
        return true;
    }

    /** Removes and returns the oldest frame, or null if there is none. */
    byte[] poll() {
        Frame frame = frames.poll();
        if (frame == null) {
            return null;
        }
        bytes -= frame.bytes().length;
        return frame.bytes();
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    void clear() {
        frames.clear();
        bytes = 0;
    }

    private void dropHeartbeats(long excess) {
        long toDrop = excess;
        Iterator<Frame> iterator = frames.iterator();
        while (toDrop > 0 && iterator.hasNext()) {
            Frame frame = iterator.next();
            if (frame.heartbeat()) {
                iterator.remove();
                bytes -= frame.bytes().length;
                toDrop -= frame.bytes().length;
            }
        }
    }

    private static boolean isHeartbeat(PeerMessage message) {
        return message instanceof PeerMessage.Ping
                || message instanceof PeerMessage.Ack
                || message instanceof PeerMessage.PingRequest;
    }
}
