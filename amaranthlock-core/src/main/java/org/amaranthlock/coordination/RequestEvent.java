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

/** Event in the life of a request. */
public sealed interface RequestEvent extends Event {
    /** The request it is about. */
    RequestId request();

    /**
     * A caller's request was read whole.
     *
     * @param spec the request
     * @param resumeIndex position of the first token that the caller lacks, when it returns for the rest of an answer
     */
    record Arrived(RequestSpec spec, OptionalInt resumeIndex) implements RequestEvent {
        public Arrived {
            Objects.requireNonNull(spec, "spec");
            Objects.requireNonNull(resumeIndex, "resumeAt");
        }

        @Override
        public RequestId request() {
            return spec.id();
        }
    }

    /** The caller's connection closed before the end of the answer. */
    record ClientDisconnected(RequestId request) implements RequestEvent {}

    /** The ledger decided on the claim of an at-most-once request. */
    record ClaimDecided(RequestId request, ClaimResult result) implements RequestEvent {}

    /**
     * The search for the state of a returning caller's request ended.
     *
     * @param request the request
     * @param checkpoint the newest state that was found
     * @param conclusive whether every router that may hold the state has answered; if not, its absence proves nothing
     */
    record CheckpointFound(RequestId request, Optional<Checkpoint> checkpoint, boolean conclusive)
            implements RequestEvent {}

    /** The search for the state of a returning caller's request found that it is complete. */
    record CompletedResponseFound(RequestId request, CompletedResponse response) implements RequestEvent {}

    /** An admitted request that was queued may start now. */
    record AdmissionGranted(RequestId request) implements RequestEvent {}

    /** The record of a request that this router closed lasts in the ledger. */
    record OutcomeDurable(RequestId request) implements RequestEvent {}

    /** Another router serves the request now, because the caller went there. */
    record TakenOver(RequestId request) implements RequestEvent {}

    /** Event of one attempt at a target. */
    sealed interface AttemptEvent extends RequestEvent {
        /** The attempt. */
        AttemptId attempt();

        @Override
        default RequestId request() {
            return attempt().request();
        }
    }

    /**
     * Tokens arrived.
     *
     * @param attempt the attempt
     * @param firstIndex position of the first of the tokens in the whole answer
     * @param tokens the tokens, in order
     */
    record TokensReceived(AttemptId attempt, int firstIndex, List<String> tokens) implements AttemptEvent {
        public TokensReceived {
            tokens = List.copyOf(tokens);
        }
    }

    /**
     * The engine ended the stream with its end event.
     *
     * @param attempt the attempt
     * @param reason why it ended, for example {@code stop} or {@code length}
     * @param tokenCount number of tokens of the whole answer
     */
    record StreamEnded(AttemptId attempt, String reason, int tokenCount) implements AttemptEvent {}

    /** A plain service answered. */
    record ServiceResponded(AttemptId attempt, ServiceResponse response) implements AttemptEvent {}

    /**
     * A target that reconciles told whether the key of the attempt was executed.
     *
     * @param attempt the attempt
     * @param response the stored answer if it was executed; an empty value means that it was never executed and,
     *     when the target checks fencing numbers, never will be
     */
    record Reconciled(AttemptId attempt, Optional<ServiceResponse> response) implements AttemptEvent {}

    /** How an attempt failed. */
    enum FailureKind {
        /** No byte of the request was sent. */
        NOT_SENT,
        /** The target said that it did not run the request, because it is busy. */
        BUSY,
        /** The target said that it did not run the request, because it is leaving. */
        DRAINING,
        /** The target said that it can't run the request. */
        INVALID,
        /** The target refused the fencing number. */
        FENCED,
        /** The target does not know the stream that was to be attached to. */
        STREAM_GONE,
        /** The connection was lost after the request was sent. */
        LOST,
        /** No answer came in time. */
        TIMED_OUT;

        /** Tells whether the target certainly did not execute the request. */
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
     * @param detail explanation for the log
     * @param retryAfterMillis when the target wants to be asked again, in milliseconds from now
     */
    record AttemptFailed(AttemptId attempt, FailureKind kind, String detail, OptionalLong retryAfterMillis)
            implements AttemptEvent {}
}
