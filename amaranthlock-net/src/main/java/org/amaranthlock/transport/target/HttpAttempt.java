package org.amaranthlock.transport.target;

import io.servicetalk.concurrent.Cancellable;
import java.util.Objects;
import java.util.OptionalLong;
import org.amaranthlock.coordination.RequestEvent.AttemptEvent;
import org.amaranthlock.coordination.RequestEvent.AttemptFailed;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Target;
import org.amaranthlock.transport.EventSink;

/**
 * Attempt at a target over HTTP, which publishes its events.
 *
 * <p>Ensures that there is at most one final event, and no event after the final one or after a cancellation.
 * Thread-safe.
 */
final class HttpAttempt {
    private final AttemptId id;
    private final Target target;
    private final EventSink sink;
    private final Runnable endCallback;
    private Cancellable exchange = Cancellable.IGNORE_CANCEL;
    private boolean isEnded;

    HttpAttempt(AttemptId id, Target target, EventSink sink, Runnable endCallback) {
        this.id = Objects.requireNonNull(id, "id");
        this.target = Objects.requireNonNull(target, "target");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.endCallback = Objects.requireNonNull(endCallback, "endCallback");
    }

    AttemptId id() {
        return id;
    }

    Target target() {
        return target;
    }

    /** Sets the exchange to cancel with the attempt; cancels it at once if the attempt has already ended. */
    void setExchange(Cancellable newExchange) {
        synchronized (this) {
            if (!isEnded) {
                exchange = newExchange;
                return;
            }
        }
        newExchange.cancel();
    }

    /** Publishes an event that is not the final one. */
    synchronized void publish(AttemptEvent event) {
        if (!isEnded) {
            sink.accept(event);
        }
    }

    /**
     * Ends the attempt and publishes its final event.
     *
     * @return false if the attempt had ended before; the event was not published
     */
    boolean complete(AttemptEvent event) {
        synchronized (this) {
            if (isEnded) {
                return false;
            }
            isEnded = true;
            sink.accept(event);
        }
        endCallback.run();
        return true;
    }

    /** Ends the attempt with an {@link AttemptFailed} event; returns false if it had ended before. */
    boolean fail(FailureKind kind, String detail, OptionalLong retryAfterMillis) {
        return complete(new AttemptFailed(id, kind, detail, retryAfterMillis));
    }

    /** Ends the attempt without an event and cancels its exchange. */
    void cancel() {
        Cancellable cancelledExchange;
        synchronized (this) {
            if (isEnded) {
                return;
            }
            isEnded = true;
            cancelledExchange = exchange;
        }
        endCallback.run();
        cancelledExchange.cancel();
    }

    /** Returns whether the attempt has completed, failed or been cancelled. */
    synchronized boolean isEnded() {
        return isEnded;
    }
}
