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

/** Answers a router's commands to targets at a constant pace, without load or failures. */
final class EngineModel {
    private static final long FIRST_TOKEN_MILLIS = 300;
    private static final long PACE_MILLIS = 56;
    private static final long CALL_MILLIS = 20;
    private static final long REPORT_AGE_MILLIS = 500;

    private final EventQueue queue;
    private final int tokens;

    EngineModel(EventQueue queue, int tokens) {
        this.queue = queue;
        this.tokens = tokens;
    }

    void execute(RequestCommand command, Consumer<Event> receiver) {
        switch (command) {
            case RequestCommand.OpenStream open ->
                queue.after(FIRST_TOKEN_MILLIS, () -> token(open.attempt(), 0, receiver));
            case RequestCommand.CallService call ->
                queue.after(
                        CALL_MILLIS,
                        () -> receiver.accept(new RequestEvent.ServiceResponded(
                                call.attempt(), new ServiceResponse(200, Map.of(), new byte[200]))));
            default -> {}
        }
    }

    void execute(TargetCommand command, Consumer<Event> receiver) {
        if (command instanceof TargetCommand.Poll poll) {
            queue.after(
                    2,
                    () -> receiver.accept(
                            new TargetEvent.LoadReported(poll.target().id(), 0, 0, REPORT_AGE_MILLIS)));
        }
    }

    private void token(AttemptId attempt, int index, Consumer<Event> receiver) {
        if (index == tokens) {
            receiver.accept(new RequestEvent.StreamEnded(attempt, "stop", tokens));
            return;
        }
        receiver.accept(new RequestEvent.TokensReceived(attempt, index, List.of("word")));
        queue.after(PACE_MILLIS, () -> token(attempt, index + 1, receiver));
    }
}
