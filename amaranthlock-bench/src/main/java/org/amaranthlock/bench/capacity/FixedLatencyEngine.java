package org.amaranthlock.bench.capacity;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.ServiceResponse;

/** Responds to a router's commands to targets with fixed latencies, independent of load and without failures. */
final class FixedLatencyEngine {
    private static final long FIRST_TOKEN_LATENCY_MILLIS = 300;
    private static final long TOKEN_LATENCY_MILLIS = 56;
    private static final long CALL_LATENCY_MILLIS = 20;
    private static final long REPORT_AGE_MILLIS = 500;

    private final EventQueue queue;
    private final int tokensPerGeneration;

    FixedLatencyEngine(EventQueue queue, int tokensPerGeneration) {
        this.queue = queue;
        this.tokensPerGeneration = tokensPerGeneration;
    }

    void execute(RequestCommand command, Consumer<Event> receiver) {
        switch (command) {
            case RequestCommand.OpenStream open ->
                queue.schedule(FIRST_TOKEN_LATENCY_MILLIS, () -> sendToken(open.attempt(), 0, receiver));
            case RequestCommand.CallService call ->
                queue.schedule(
                        CALL_LATENCY_MILLIS,
                        () -> receiver.accept(new RequestEvent.ServiceResponded(
                                call.attempt(), new ServiceResponse(200, Map.of(), new byte[200]))));
            default -> {}
        }
    }

    void execute(TargetCommand command, Consumer<Event> receiver) {
        if (command instanceof TargetCommand.Poll poll) {
            queue.schedule(
                    2,
                    () -> receiver.accept(
                            new TargetEvent.LoadReported(poll.target().id(), 0, 0, REPORT_AGE_MILLIS)));
        }
    }

    private void sendToken(AttemptId attempt, int index, Consumer<Event> receiver) {
        if (index == tokensPerGeneration) {
            receiver.accept(new RequestEvent.StreamEnded(attempt, "stop", tokensPerGeneration));
            return;
        }
        receiver.accept(new RequestEvent.TokensReceived(attempt, index, List.of("word")));
        queue.schedule(TOKEN_LATENCY_MILLIS, () -> sendToken(attempt, index + 1, receiver));
    }
}
