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

/** Operator calls that wait for a result of the decision core, by call number; thread-safe. */
public final class PendingOperatorCalls {
    /** Covers a configuration change whose platform response was lost: the core then reads the entry back first. */
    private static final long RESULT_TIMEOUT_SECONDS = 15;

    private final EventSink events;
    private final AtomicLong lastCall = new AtomicLong();
    private final ConcurrentMap<Long, CompletableFuture<OperatorCommand>> pending = new ConcurrentHashMap<>();

    /** Creates an instance that sends operator events to {@code events}. */
    public PendingOperatorCalls(EventSink events) {
        this.events = events;
    }

    /**
     * Sends an operator event to the decision core.
     *
     * @param eventFactory creates the event for a call number
     * @return the result; fails with a {@code TimeoutException} if the core returns none in time
     */
    public CompletableFuture<OperatorCommand> submit(LongFunction<OperatorEvent> eventFactory) {
        long callNumber = lastCall.incrementAndGet();
        CompletableFuture<OperatorCommand> result = new CompletableFuture<>();
        pending.put(callNumber, result);
        events.accept(eventFactory.apply(callNumber));
        return result.orTimeout(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .whenComplete((done, error) -> pending.remove(callNumber));
    }

    /** Completes the call that a result belongs to; ignores results without a pending call. */
    public void complete(OperatorCommand command) {
        CompletableFuture<OperatorCommand> result = pending.get(command.call());
        if (result != null) {
            result.complete(command);
        }
    }
}
