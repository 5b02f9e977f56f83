package org.amaranthlock.coordination.membership;

import java.util.List;
import java.util.Objects;

/**
 * Source and sink of one type of update that is piggybacked on failure-detection messages.
 *
 * @param source provides the updates to send
 * @param sink receives the updates of other routers
 * @param <T> type of an update
 */
public record GossipTopic<T>(Source<T> source, Sink<T> sink) {
    public GossipTopic {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(sink, "sink");
    }

    /** Provides updates for outgoing messages. */
    @FunctionalInterface
    public interface Source<T> {
        /** Returns at most {@code limit} updates for the next message. */
        List<T> nextUpdates(int limit, long nowMillis);
    }

    /** Applies received updates. */
    @FunctionalInterface
    public interface Sink<T> {
        /** Applies updates that another router sent. */
        void apply(List<T> updates, long nowMillis);
    }
}
