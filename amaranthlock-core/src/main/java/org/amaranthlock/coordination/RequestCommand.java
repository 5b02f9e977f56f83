package org.amaranthlock.coordination;

import java.util.List;
import java.util.OptionalLong;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Target;

/** Command in the life of a request. */
public sealed interface RequestCommand extends Command {
    /**
     * Opens a stream at an engine.
     *
     * @param attempt the attempt
     * @param target the engine
     * @param spec the request
     * @param prefix tokens of the answer that exist already; the engine goes on behind them
     * @param priority scheduling priority
     */
    record OpenStream(AttemptId attempt, Target target, RequestSpec spec, List<String> prefix, int priority)
            implements RequestCommand {
        public OpenStream {
            prefix = List.copyOf(prefix);
        }
    }

    /** Attaches to a running stream of an engine from a position of the answer. */
    record AttachStream(AttemptId attempt, Target target, int fromIndex) implements RequestCommand {}

    /** Cancels a stream; events of the attempt are ignored from now on. */
    record CancelAttempt(AttemptId attempt, Target target) implements RequestCommand {}

    /**
     * Calls a plain service.
     *
     * @param attempt the attempt
     * @param target the service instance
     * @param spec the request
     * @param fence fencing number of an at-most-once request
     * @param timeoutMillis time for the answer, in milliseconds
     */
    record CallService(AttemptId attempt, Target target, RequestSpec spec, OptionalLong fence, long timeoutMillis)
            implements RequestCommand {}

    /** Asks a target whether the key of a request was executed, raising the fencing number of the key. */
    record Reconcile(AttemptId attempt, Target target, RequestSpec spec, OptionalLong fence)
            implements RequestCommand {}

    /**
     * Sends tokens to the caller; positions are consecutive over all deliveries of a connection.
     *
     * @param request the caller's connection
     * @param originalRequest the request whose tokens these are; a caller that returns for the rest names it, so that it never
     *     gets the rest of another generation
     * @param firstIndex position of the first of the tokens in the whole answer
     * @param tokens the tokens, in order
     */
    record DeliverTokens(RequestId request, RequestId originalRequest, int firstIndex, List<String> tokens)
            implements RequestCommand {
        public DeliverTokens {
            tokens = List.copyOf(tokens);
        }

        /** Creates a delivery on the connection that the request arrived on. */
        public DeliverTokens(RequestId request, int firstIndex, List<String> tokens) {
            this(request, request, firstIndex, tokens);
        }
    }

    /** Ends a streamed answer. */
    record CompleteStream(RequestId request, String reason, OutcomeRecord record) implements RequestCommand {}

    /** Sends the answer of a plain service. */
    record DeliverResponse(RequestId request, ServiceResponse response, OutcomeRecord record)
            implements RequestCommand {}

    /** Ends a request with a refusal; after the first token as an error event of the stream. */
    record Refuse(RequestId request, Refusal refusal) implements RequestCommand {}

    /** Closes the caller's connection without an account, because another router serves the request now. */
    record Supersede(RequestId request) implements RequestCommand {}
}
