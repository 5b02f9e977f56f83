package org.amaranthlock.coordination;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.CompletedResponse;

/** Event that concerns a single client request. */
public sealed interface RequestEvent extends Event {
    /** Returns the request that the event concerns. */
    RequestId request();

    /**
     * A client's request was received completely.
     *
     * @param spec the request
     * @param resumeIndex position of the first missing token if the client reconnects for the rest of a response; else
     *     empty
     */
    record Arrived(RequestSpec spec, OptionalInt resumeIndex) implements RequestEvent {
        public Arrived {
            Objects.requireNonNull(spec, "spec");
            Objects.requireNonNull(resumeIndex, "resumeIndex");
        }

        @Override
        public RequestId request() {
            return spec.id();
        }
    }

    /** The client closed its connection before the response was complete. */
    record ClientDisconnected(RequestId request) implements RequestEvent {}

    /** The ledger decided the claim of an at-most-once request. */
    record ClaimDecided(RequestId request, ClaimResult result) implements RequestEvent {}

    /**
     * The search for the checkpoint of a reconnecting client's request ended.
     *
     * @param request the request
     * @param checkpoint the newest checkpoint that was found, empty if none was
     * @param conclusive whether every router that may hold a checkpoint has responded; if not, a missing checkpoint
     *     does not prove that none exists
     */
    record CheckpointSearchCompleted(RequestId request, Optional<Checkpoint> checkpoint, boolean conclusive)
            implements RequestEvent {}

    /** The search for the checkpoint of a reconnecting client's request found a completed response. */
    record CompletedResponseFound(RequestId request, CompletedResponse response) implements RequestEvent {}

    /** A queued request may start now. */
    record AdmissionGranted(RequestId request) implements RequestEvent {}

    /** The outcome record of a request that this router completed is durable in the ledger. */
    record OutcomeDurable(RequestId request) implements RequestEvent {}

    /** Another router now serves the request, because the client reconnected there. */
    record TakenOver(RequestId request) implements RequestEvent {}

    /** Event that concerns one attempt at a target. */
    sealed interface AttemptEvent extends RequestEvent {
        /** Returns the attempt. */
        AttemptId attempt();

        @Override
        default RequestId request() {
            return attempt().request();
        }
    }

    /**
     * Tokens were received from an engine.
     *
     * @param attempt the attempt
     * @param firstIndex position of the first token in the complete response
     * @param tokens the tokens, in order
     */
    record TokensReceived(AttemptId attempt, int firstIndex, List<String> tokens) implements AttemptEvent {
        public TokensReceived {
            tokens = List.copyOf(tokens);
        }
    }

    /**
     * The engine completed the stream with its end event.
     *
     * @param attempt the attempt
     * @param reason finish reason, for example {@code stop} or {@code length}
     * @param tokenCount number of tokens of the complete response
     */
    record StreamEnded(AttemptId attempt, String reason, int tokenCount) implements AttemptEvent {}

    /** A service that does not stream sent its response. */
    record ServiceResponded(AttemptId attempt, ServiceResponse response) implements AttemptEvent {}

    /**
     * A target that supports reconciliation reported for an idempotency key whether it executed the request.
     *
     * @param attempt the attempt
     * @param response the response that the target stored if it executed the request; empty if it did not and, when
     *     it checks fencing numbers, never will
     */
    record Reconciled(AttemptId attempt, Optional<ServiceResponse> response) implements AttemptEvent {}

    /** Ways in which an attempt fails. */
    enum FailureKind {
        /** No byte of the request was sent. */
        NOT_SENT,
        /** The target reported that it did not run the request because it is busy. */
        BUSY,
        /** The target reported that it did not run the request because it is draining. */
        DRAINING,
        /** The target reported that it cannot run the request. */
        INVALID,
        /** The target rejected the fencing number. */
        FENCED,
        /** The target does not know the stream to attach to. */
        STREAM_GONE,
        /** The connection was lost after the request was sent. */
        LOST,
        /** No response arrived before the timeout. */
        TIMED_OUT;

        /** Returns whether it is certain that the target did not execute the request. */
        public boolean isDefinitelyNotRun() {
            return switch (this) {
                case NOT_SENT, BUSY, DRAINING, INVALID, FENCED -> true;
                case STREAM_GONE, LOST, TIMED_OUT -> false;
            };
        }
    }

    /**
     * An attempt failed.
     *
     * @param attempt the attempt
     * @param kind how it failed
     * @param detail explanation, for the log
     * @param retryAfterMillis delay after which the target allows a retry, in milliseconds
     */
    record AttemptFailed(AttemptId attempt, FailureKind kind, String detail, OptionalLong retryAfterMillis)
            implements AttemptEvent {}
}
