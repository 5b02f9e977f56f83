package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerFrame;

/**
 * Sends messages to many hosts at a bounded rate, so that requests find room on the link between them.
 *
 * <p>All calls are on one event loop.
 */
final class PacedSender {
    /** Bytes that are sent at once; the narrowest link of a deployment, 7 Mbit/s, carries them in 9 ms. */
    private static final int BURST_BYTES = 8 << 10;

    /** Time after which a message is made anew for its next recipients, since it holds the ages of what it tells. */
    private static final long MAX_FRAME_AGE_MILLIS = 100;

    private final EventLoop loop;
    private final int bytesPerSecond;
    private final LongSupplier clockMillis;
    private final Sender sender;
    private final DecisionLog log;
    private final Queue<Delivery> urgent = new ArrayDeque<>();
    private final Queue<Delivery> waiting = new ArrayDeque<>();
    private boolean sending;

    /** Order in which messages are sent. */
    enum Priority {
        /** Before all others. */
        URGENT,
        /** After those that were added before. */
        NORMAL
    }

    /** Sends a message to a host. */
    @FunctionalInterface
    interface Sender {
        /** Sends an encoded message. */
        void send(String host, PeerFrame frame);
    }

    /** Message that is made when it is sent. */
    private final class Content {
        private final Supplier<EntryPeerMessage> message;
        private PeerFrame frame;
        private long madeAtMillis;

        private Content(Supplier<EntryPeerMessage> message) {
            this.message = message;
        }

        PeerFrame frame() {
            long nowMillis = clockMillis.getAsLong();
            if (frame == null || nowMillis - madeAtMillis > MAX_FRAME_AGE_MILLIS) {
                frame = PeerFrame.of(message.get());
                madeAtMillis = nowMillis;
            }
            return frame;
        }
    }

    /** Message for a host, and what is run after it was sent. */
    private record Delivery(String host, Content content, Runnable onSent) {}

    /** Creates a sender that sends so many bytes in the mean while messages wait. */
    PacedSender(EventLoop loop, int bytesPerSecond, LongSupplier clockMillis, Sender sender, DecisionLog log) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.bytesPerSecond = bytesPerSecond;
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Sends messages, which are made as late as possible.
     *
     * @param hosts recipients of all messages; at least one
     * @param onSent called after the last one has been sent
     */
    void send(List<String> hosts, List<Supplier<EntryPeerMessage>> messages, Priority priority, Runnable onSent) {
        Queue<Delivery> queue = switch (priority) {
            case URGENT -> urgent;
            case NORMAL -> waiting;
        };
        for (int i = 0; i < messages.size(); i++) {
            Content content = new Content(messages.get(i));
            for (int j = 0; j < hosts.size(); j++) {
                boolean last = i == messages.size() - 1 && j == hosts.size() - 1;
                queue.add(new Delivery(hosts.get(j), content, last ? onSent : () -> {}));
            }
        }
        if (!sending) {
            sendBurst();
        }
    }

    private void sendBurst() {
        sending = true;
        int bytes = 0;
        while (bytes < BURST_BYTES && !(urgent.isEmpty() && waiting.isEmpty())) {
            Delivery next = urgent.isEmpty() ? waiting.remove() : urgent.remove();
            bytes += trySend(next);
            next.onSent().run();
        }
        loop.schedule(this::goOn, bytes * 1_000L / bytesPerSecond, TimeUnit.MILLISECONDS);
    }

    /** Sends a message and returns its bytes; a program error is logged, because it would otherwise end all sending. */
    private int trySend(Delivery delivery) {
        try {
            PeerFrame frame = delivery.content().frame();
            sender.send(delivery.host(), frame);
            return frame.bytes();
        } catch (RuntimeException e) {
            log.write("peer-message-fault", "peer", delivery.host(), "cause", e);
            return 0;
        }
    }

    private void goOn() {
        if (urgent.isEmpty() && waiting.isEmpty()) {
            sending = false;
        } else {
            sendBurst();
        }
    }
}
