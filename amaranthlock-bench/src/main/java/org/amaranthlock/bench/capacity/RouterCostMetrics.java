package org.amaranthlock.bench.capacity;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.amaranthlock.protocol.peer.PeerMessage;

/** Metrics of one router: peer messages and bytes sent, platform calls, and the processor time of handled events. */
final class RouterCostMetrics {
    private static final Set<Class<?>> CONTROL_MESSAGES = Set.of(
            PeerMessage.Ping.class,
            PeerMessage.Ack.class,
            PeerMessage.PingRequest.class,
            PeerMessage.ConfigPush.class,
            PeerMessage.ConfigPull.class,
            PeerMessage.UsageReport.class,
            PeerMessage.ShareGrant.class);

    private final Map<String, Total> messages = new TreeMap<>();
    private final Map<String, Total> platformCalls = new TreeMap<>();
    private final Map<String, Total> events = new TreeMap<>();
    private Total control = new Total();
    private Total data = new Total();
    private Total handledEvents = new Total();

    void recordMessage(PeerMessage message, int bytes) {
        messages.computeIfAbsent(message.getClass().getSimpleName(), _ -> new Total())
                .add(bytes);
        (isControl(message) ? control : data).add(bytes);
    }

    void recordPlatformCall(String kind, long bytes) {
        platformCalls.computeIfAbsent(kind, _ -> new Total()).add(bytes);
    }

    void recordEvent(String event, long nanos) {
        events.computeIfAbsent(event, _ -> new Total()).add(nanos);
        handledEvents.add(nanos);
    }

    void clear() {
        messages.clear();
        platformCalls.clear();
        events.clear();
        control = new Total();
        data = new Total();
        handledEvents = new Total();
    }

    /** Adds the totals of another router to this one. */
    void addAll(RouterCostMetrics other) {
        merge(messages, other.messages);
        merge(platformCalls, other.platformCalls);
        merge(events, other.events);
        control.addAll(other.control);
        data.addAll(other.data);
        handledEvents.addAll(other.handledEvents);
    }

    Map<String, Total> messages() {
        return messages;
    }

    Map<String, Total> platformCalls() {
        return platformCalls;
    }

    Map<String, Total> events() {
        return events;
    }

    /** Returns the peer messages of membership, configuration and rate-limit shares, and their bytes. */
    Total control() {
        return control;
    }

    /** Returns the peer messages that belong to requests and their bytes. */
    Total data() {
        return data;
    }

    /** Returns the handled events and their processor time in nanoseconds. */
    Total handledEvents() {
        return handledEvents;
    }

    /** Returns whether a message belongs to membership, configuration or rate-limit shares, and not to a request. */
    static boolean isControl(PeerMessage message) {
        return CONTROL_MESSAGES.contains(message.getClass());
    }

    private static void merge(Map<String, Total> to, Map<String, Total> from) {
        from.forEach((key, total) -> to.computeIfAbsent(key, _ -> new Total()).addAll(total));
    }

    /** Number of items and the sum of their sizes or times. */
    static final class Total {
        private long count;
        private long sum;

        private void add(long size) {
            count++;
            sum += size;
        }

        private void addAll(Total other) {
            count += other.count;
            sum += other.sum;
        }

        long count() {
            return count;
        }

        long sum() {
            return sum;
        }
    }
}
