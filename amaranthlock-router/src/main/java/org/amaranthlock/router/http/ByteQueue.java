package org.amaranthlock.router.http;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.ReadOnlyBufferAllocators;
import io.servicetalk.concurrent.PublisherSource.Subscriber;
import io.servicetalk.concurrent.PublisherSource.Subscription;
import io.servicetalk.concurrent.api.Publisher;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;

/**
 * Bounded queue of the bytes of a response body, which the network thread sends as fast as the client reads.
 *
 * <p>Supports one subscriber. {@link #offer}, {@link #complete} and {@link #abort} may be called from any thread;
 * signals to the subscriber are serialized.
 */
final class ByteQueue extends Publisher<Buffer> {
    private static final Logger LOG = Logger.getLogger(ByteQueue.class);

    private final int limitBytes;
    private final Runnable onCancel;
    private final Executor executor;
    private final Queue<byte[]> buffered = new ArrayDeque<>();
    // Calls of drain() that are not handled yet; only the first of them starts a task, which serializes the signals.
    private final AtomicInteger pendingDrains = new AtomicInteger();
    private Subscriber<? super Buffer> subscriber;
    private long demand;
    private int bufferedBytes;
    private boolean completed;
    private Throwable failure;
    private boolean terminated;

    /**
     * Creates an empty queue.
     *
     * @param limitBytes bound on the buffered bytes
     * @param executor executes the signals to the subscriber, so that the producing thread does no network I/O
     * @param onCancel called at most once, when the subscriber cancels before the end
     */
    ByteQueue(int limitBytes, Executor executor, Runnable onCancel) {
        this.executor = executor;
        this.limitBytes = limitBytes;
        this.onCancel = onCancel;
    }

    /**
     * Appends bytes to the body; discards them if the body has ended or the subscriber has cancelled.
     *
     * @return false if the bytes would exceed the bound; they are not appended then
     */
    boolean offer(byte[] bytes) {
        synchronized (this) {
            if (terminated || completed) {
                return true;
            }
            if (bufferedBytes + bytes.length > limitBytes) {
                return false;
            }
            buffered.add(bytes);
            bufferedBytes += bytes.length;
        }
        drain();
        return true;
    }

    /** Completes the body after the buffered bytes. */
    void complete() {
        synchronized (this) {
            completed = true;
        }
        drain();
    }

    /** Fails the body, which closes the connection, so that the client sees an incomplete body. */
    void abort(Throwable cause) {
        synchronized (this) {
            failure = cause;
        }
        drain();
    }

    @Override
    protected void handleSubscribe(Subscriber<? super Buffer> newSubscriber) {
        boolean first;
        synchronized (this) {
            first = subscriber == null;
        }
        if (!first) {
            newSubscriber.onSubscribe(new NoOpSubscription());
            newSubscriber.onError(new IllegalStateException("A response body supports one subscriber only."));
            return;
        }
        // The subscriber is set afterwards, because onSubscribe must precede all other signals.
        newSubscriber.onSubscribe(new QueueSubscription());
        synchronized (this) {
            subscriber = newSubscriber;
        }
        drain();
    }

    private void drain() {
        if (pendingDrains.getAndIncrement() == 0) {
            executor.execute(this::emitAll);
        }
    }

    private void emitAll() {
        int handled = 1;
        do {
            try {
                while (emitNext()) {
                    // Each call emits one item; the loop ends when there is no demand or no item left.
                }
            } catch (RuntimeException e) {
                LOG.debug("The connection did not accept a part of the body; the response is cancelled.", e);
                subscriptionCancelled();
            }
            handled = pendingDrains.addAndGet(-handled);
        } while (handled != 0);
    }

    private boolean emitNext() {
        Subscriber<? super Buffer> receiver;
        byte[] next;
        Throwable error;
        synchronized (this) {
            if (subscriber == null || terminated) {
                return false;
            }
            receiver = subscriber;
            error = failure;
            next = error == null && demand > 0 ? buffered.poll() : null;
            if (next != null) {
                demand--;
                bufferedBytes -= next.length;
            } else if (error != null || completed && buffered.isEmpty()) {
                terminated = true;
                buffered.clear();
            } else {
                return false;
            }
        }
        if (next != null) {
            receiver.onNext(ReadOnlyBufferAllocators.DEFAULT_RO_ALLOCATOR.wrap(next));
            return true;
        }
        if (error != null) {
            receiver.onError(error);
        } else {
            receiver.onComplete();
        }
        return false;
    }

    private void subscriptionCancelled() {
        synchronized (this) {
            if (terminated) {
                return;
            }
            terminated = true;
            buffered.clear();
            bufferedBytes = 0;
        }
        onCancel.run();
    }

    private final class QueueSubscription implements Subscription {
        @Override
        public void request(long count) {
            synchronized (ByteQueue.this) {
                if (count <= 0) {
                    failure = new IllegalArgumentException("Demand must be positive: " + count);
                } else {
                    demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
                }
            }
            drain();
        }

        @Override
        public void cancel() {
            subscriptionCancelled();
        }
    }

    private static final class NoOpSubscription implements Subscription {
        @Override
        public void request(long count) {
            // The subscriber receives an error immediately, so its demand has no effect.
        }

        @Override
        public void cancel() {
            // Nothing was started for the rejected subscriber.
        }
    }
}
