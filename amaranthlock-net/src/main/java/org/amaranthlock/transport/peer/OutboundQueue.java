package org.amaranthlock.transport.peer;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.amaranthlock.protocol.peer.PeerMessage;

/**
 * Queue of the frames to be written to a connection, bounded in bytes.
 *
 * <p>A full queue drops its oldest heartbeats, which are the messages of the failure detector, so that they don't
 * displace claims and outcomes. Not thread-safe.
 */
final class OutboundQueue {
    private final long capacityBytes;
    private final ArrayDeque<Frame> frames = new ArrayDeque<>();
    private long queuedBytes;

    private record Frame(byte[] content, boolean heartbeat) {}

    OutboundQueue(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /**
     * Adds a frame, dropping the oldest heartbeats if the queue is full.
     *
     * @return false if the frame was not added, because the queue is full even without heartbeats
     */
    boolean add(byte[] frame, PeerMessage message) {
        if (queuedBytes + frame.length > capacityBytes) {
            dropHeartbeats(queuedBytes + frame.length - capacityBytes);
        }
        if (queuedBytes + frame.length > capacityBytes) {
            return false;
        }
        frames.add(new Frame(frame, isHeartbeat(message)));
        queuedBytes += frame.length;
        return true;
    }

    /** Removes and returns the oldest frame, or returns null if the queue is empty. */
    byte[] poll() {
        Frame frame = frames.poll();
        if (frame == null) {
            return null;
        }
        queuedBytes -= frame.content().length;
        return frame.content();
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    void clear() {
        frames.clear();
        queuedBytes = 0;
    }

    private void dropHeartbeats(long excess) {
        long toDrop = excess;
        Iterator<Frame> iterator = frames.iterator();
        while (toDrop > 0 && iterator.hasNext()) {
            Frame frame = iterator.next();
            if (frame.heartbeat()) {
                iterator.remove();
                queuedBytes -= frame.content().length;
                toDrop -= frame.content().length;
            }
        }
    }

    private static boolean isHeartbeat(PeerMessage message) {
        return message instanceof PeerMessage.Ping
                || message instanceof PeerMessage.Ack
                || message instanceof PeerMessage.PingRequest;
    }
}
