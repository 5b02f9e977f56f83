package org.amaranthlock.router.http;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.ConnectionInfo;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Closes connections whose first request head does not arrive in time, so that clients that connect and send nothing,
 * or a byte now and then, don't hold connections; thread-safe.
 */
final class FirstRequestTimeout {
    private final ConcurrentMap<String, Cancellable> timers = new ConcurrentHashMap<>();
    private final Duration timeout;

    FirstRequestTimeout(Duration timeout) {
        this.timeout = timeout;
    }

    /** Starts to watch a new connection; accepts all. */
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

    /** Ends the watch, because a request head was read or the connection is closed. */
    void cancelTimer(ConnectionInfo connection) {
        Cancellable timer = timers.remove(connection.connectionId());
        if (timer != null) {
            timer.cancel();
        }
    }
}
