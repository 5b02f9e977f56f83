package org.amaranthlock.router.http;

import io.servicetalk.concurrent.Cancellable;
import java.util.concurrent.Executor;

/** Connection of a client, whose loss before the end of the response is reported to its exchange; thread-safe. */
final class ClientConnection {
    private final Executor executor;
    private Exchange exchange;
    private Cancellable closeSubscription;
    private boolean lost;
    private boolean finished;

    /** Creates a connection whose network I/O runs on the given executor. */
    ClientConnection(Executor executor) {
        this.executor = executor;
    }

    /** Returns the executor of the connection's network I/O. */
    Executor executor() {
        return executor;
    }

    /** Sets the exchange served on the connection; reports the disconnect if the connection is already lost. */
    void attach(Exchange newExchange) {
        synchronized (this) {
            exchange = newExchange;
            if (!lost) {
                return;
            }
        }
        newExchange.clientDisconnected();
    }

    /** Returns whether the connection was lost. */
    synchronized boolean isLost() {
        return lost;
    }

    /** Records the loss of the connection; has no effect after {@link #responseSent()}. */
    void markLost() {
        Exchange attached;
        synchronized (this) {
            if (finished) {
                return;
            }
            lost = true;
            attached = exchange;
        }
        if (attached != null) {
            attached.clientDisconnected();
        }
    }

    /** Sets the subscription to the close signal of the connection, which is cancelled when the response was sent. */
    void setCloseSubscription(Cancellable newSubscription) {
        synchronized (this) {
            closeSubscription = newSubscription;
            if (!finished) {
                return;
            }
        }
        newSubscription.cancel();
    }

    /** Records that the response was sent and cancels the close subscription. */
    void responseSent() {
        Cancellable subscription;
        synchronized (this) {
            finished = true;
            subscription = closeSubscription;
        }
        if (subscription != null) {
            subscription.cancel();
        }
    }
}
