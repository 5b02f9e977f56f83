package org.amaranthlock.coordination.membership;

import java.util.List;
import java.util.Objects;

/**
 * A kind of news that travels with failure-detection messages.
 *
 * @param source where news to spread come from
 * @param sink where received news go to
 * @param <T> type of an update
 */
public record GossipTopic<T>(Source<T> source, Sink<T> sink) {
    public GossipTopic {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(sink, "sink");
    }

    /** Provides updates to spread. */
    @FunctionalInterface
    public interface Source<T> {
        /** Returns at most {@code limit} updates for the next message. */
        List<T> nextUpdates(int limit, long nowMillis);
    }

    /** Takes updates over. */
    @FunctionalInterface
    public interface Sink<T> {
        /** Learns updates of another router. */
        void apply(List<T> updates, long nowMillis);
    }
}
