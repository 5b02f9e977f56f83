package org.amaranthlock.router.http;

import io.servicetalk.concurrent.Cancellable;
import java.util.concurrent.Executor;

/** Ties the loss of a caller's connection to the exchange that it carries; thread-safe. */
final class CallerConnection {
    private final Executor executor;
    private Exchange exchange;
    private Cancellable watch;
    private boolean gone;
    private boolean finished;

    /** Creates a connection whose network work runs on an executor. */
    CallerConnection(Executor executor) {
        this.executor = executor;
    }

    /** Returns the executor of the connection's network work. */
    Executor executor() {
        return executor;
    }

    /** Sets the exchange whose caller uses the connection; reports a caller that has left already. */
    void attach(Exchange newExchange) {
        synchronized (this) {
            exchange = newExchange;
            if (!gone) {
                return;
            }
        }
        newExchange.callerGone();
    }

    /** Tells whether the connection was lost. */
    synchronized boolean isGone() {
        return gone;
    }

    /** Records the loss of the connection. */
    void gone() {
        Exchange lost;
        synchronized (this) {
            if (finished) {
                return;
            }
            gone = true;
            lost = exchange;
        }
        if (lost != null) {
            lost.callerGone();
        }
    }

    /** Sets what observes the connection; it is cancelled when the exchange has finished. */
    void watchedBy(Cancellable newWatch) {
        synchronized (this) {
            watch = newWatch;
            if (!finished) {
                return;
            }
        }
        newWatch.cancel();
    }

    /** Ends the observation, because the answer was sent. */
    void finished() {
        Cancellable ended;
        synchronized (this) {
            finished = true;
            ended = watch;
        }
        if (ended != null) {
            ended.cancel();
        }
    }
}
