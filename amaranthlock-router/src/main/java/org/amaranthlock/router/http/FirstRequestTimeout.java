package org.amaranthlock.router.http;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.ConnectionInfo;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Closes connections whose first request head does not arrive within a timeout; thread-safe.
 *
 * <p>This prevents clients that send nothing, or only a byte now and then, from holding connections.
 */
final class FirstRequestTimeout {
    private final ConcurrentMap<String, Cancellable> timers = new ConcurrentHashMap<>();
    private final Duration timeout;

    FirstRequestTimeout(Duration timeout) {
        this.timeout = timeout;
    }

    /** Starts the timer of a new connection; the result is already complete, so every connection is accepted. */
    Completable startTimer(ConnectionContext connection) {
        String id = connection.connectionId();
        timers.put(
                id,
                connection
                        .executionContext()
                        .executor()
                        .schedule(
                                () -> {
                                    if (timers.remove(id) != null) {
                                        connection.closeAsync().subscribe();
                                    }
                                },
                                timeout));
        connection.onClose().afterFinally(() -> cancelTimer(connection)).subscribe();
        return Completable.completed();
    }

    /** Cancels the timer, because a request head was read or the connection is closed. */
    void cancelTimer(ConnectionInfo connection) {
        Cancellable timer = timers.remove(connection.connectionId());
        if (timer != null) {
            timer.cancel();
        }
    }
}
