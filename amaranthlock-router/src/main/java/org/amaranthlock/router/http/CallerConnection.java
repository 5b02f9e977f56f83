package org.amaranthlock.router.http;

import io.servicetalk.concurrent.Cancellable;
import java.util.concurrent.Executor;

/** Ties the loss of a caller's connection to the exchange that it carries; thread-safe. */
final class CallerConnection {
    private final Executor executor;
    private Exchange exchange;
    private Cancellable closeSubscription;
    private boolean markLost;
    private boolean responseSent;

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
            if (!markLost) {
                return;
            }
        }
        newExchange.callerDisconnected();
    }

    /** Tells whether the connection was lost. */
    synchronized boolean isLost() {
        return markLost;
    }

    /** Records the loss of the connection. */
    void markLost() {
        Exchange lost;
        synchronized (this) {
            if (responseSent) {
                return;
            }
            markLost = true;
            lost = exchange;
        }
        if (lost != null) {
            lost.callerDisconnected();
        }
    }

    /** Sets what observes the connection; it is cancelled when the exchange has finished. */
    void setCloseSubscription(Cancellable newWatch) {
        synchronized (this) {
            closeSubscription = newWatch;
            if (!responseSent) {
                return;
            }
        }
        newWatch.cancel();
    }

    /** Ends the observation, because the answer was sent. */
    void responseSent() {
        Cancellable ended;
        synchronized (this) {
            responseSent = true;
            ended = closeSubscription;
        }
        if (ended != null) {
            ended.cancel();
        }
    }
}
