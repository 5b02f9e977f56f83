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

/** Gate for the events of one attempt: one final event, and none after the final event or a cancellation. */
final class Attempt {
    private final AttemptId id;
    private final Target target;
    private final EventSink sink;
    private final Runnable onEnd;
    private Cancellable exchange = Cancellable.IGNORE_CANCEL;
    private boolean ended;

    Attempt(AttemptId id, Target target, EventSink sink, Runnable onEnd) {
        this.id = Objects.requireNonNull(id, "id");
        this.target = Objects.requireNonNull(target, "target");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.onEnd = Objects.requireNonNull(onEnd, "onEnd");
    }

    AttemptId id() {
        return id;
    }

    Target target() {
        return target;
    }

    /** Sets what a cancellation stops. */
    void exchange(Cancellable cancellable) {
        synchronized (this) {
            if (!ended) {
                exchange = cancellable;
                return;
            }
        }
        cancellable.cancel();
    }

    /** Raises an event that is not the last one. */
    synchronized void raise(AttemptEvent event) {
        if (!ended) {
            sink.accept(event);
        }
    }

    /**
     * Raises the last event.
     *
     * @return whether the attempt had not ended before
     */
    boolean end(AttemptEvent event) {
        synchronized (this) {
            if (ended) {
                return false;
            }
            ended = true;
            sink.accept(event);
        }
        onEnd.run();
        return true;
    }

    /** Ends the attempt with a failure. */
    boolean fail(FailureKind kind, String detail, OptionalLong retryAfterMillis) {
        return end(new AttemptFailed(id, kind, detail, retryAfterMillis));
    }

    /** Ends the attempt without an event and stops its exchange. */
    void cancel() {
        Cancellable stopped;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            stopped = exchange;
        }
        onEnd.run();
        stopped.cancel();
    }

    /** Tells whether the attempt ended or was cancelled. */
    synchronized boolean ended() {
        return ended;
    }
}
