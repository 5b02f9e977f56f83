package org.amaranthlock.router.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.transport.EventSink;

/** Open calls of operators, by call number; thread-safe. */
public final class PendingOperatorCalls {
    /** Time for the core's answer; a configuration change may have to read back a lost platform answer first. */
    private static final long RESULT_TIMEOUT_SECONDS = 15;

    private final EventSink events;
    private final AtomicLong lastCall = new AtomicLong();
    private final ConcurrentMap<Long, CompletableFuture<OperatorCommand>> open = new ConcurrentHashMap<>();

    /** Creates an empty table whose demands go to {@code events}. */
    public PendingOperatorCalls(EventSink events) {
        this.events = events;
    }

    /** Sends a demand; the answer fails with a {@code TimeoutException} when the core gives none. */
    public CompletableFuture<OperatorCommand> submit(LongFunction<OperatorEvent> eventFactory) {
        long call = lastCall.incrementAndGet();
        CompletableFuture<OperatorCommand> answer = new CompletableFuture<>();
        open.put(call, answer);
        events.accept(eventFactory.apply(call));
        return answer.orTimeout(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .whenComplete((done, error) -> open.remove(call));
    }

    /** Hands an answer to its call; answers without an open call are ignored. */
    public void complete(OperatorCommand command) {
        CompletableFuture<OperatorCommand> answer = open.get(command.call());
        if (answer != null) {
            answer.complete(command);
        }
    }
}
