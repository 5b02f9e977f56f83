package org.amaranthlock.coordination.request;

import org.amaranthlock.coordination.Command;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Creates timeline entries about requests; none is per token, so that long responses do not fill the timeline. */
final class RequestTrace {
    private RequestTrace() {}

    static Command attemptStarted(RequestId request, int attempt, Target target) {
        return trace("attempt-started", request, "Attempt " + attempt + " started on " + targetId(target) + ".");
    }

    static Command attemptLost(RequestId request, int attempt, Target target, int tokens, String cause) {
        String text =
                "Attempt " + attempt + " on " + targetId(target) + " was lost after " + tokens + " tokens: " + cause;
        return trace("attempt-lost", request, text + ".");
    }

    static Command resumedByNewAttempt(RequestId request, Target target, int position) {
        String text = "The response resumes at token " + position + " by a new attempt on " + targetId(target) + ".";
        return trace("answer-resumed", request, text);
    }

    static Command resumedByAttaching(RequestId request, Target target, int position) {
        String text = "The response resumes at token " + position + " by attaching to the stream on ";
        return trace("answer-resumed", request, text + targetId(target) + ".");
    }

    static Command resumedFromCompletedResponse(RequestId request, int position) {
        String text = "A reconnected client receives the completed response from token " + position + " on.";
        return trace("answer-resumed", request, text);
    }

    static Command takenOver(RequestId request, HostId owner, int tokens) {
        String text = "This router took the request over from " + owner.value() + " with " + tokens + " tokens.";
        return trace("request-taken-over", request, text);
    }

    static Command handedOver(RequestId request, int tokens) {
        String text = "This router handed the request over with " + tokens + " tokens.";
        return trace("request-handed-over", request, text);
    }

    static Command checkpointMissing(RequestSpec spec, boolean conclusive) {
        String text = conclusive
                ? "No router holds a checkpoint of the request."
                : "No checkpoint was found, but not every router that may hold one replied.";
        return trace("checkpoint-missing", spec.id(), text);
    }

    static Command abandoned(RequestId request, ExecutionStatus executionStatus) {
        String text =
                "The client disconnected, so the request was closed with execution status " + executionStatus + ".";
        return trace("request-abandoned", request, text);
    }

    static Command abandonedByBackup(RequestId request, HostId owner, ExecutionStatus executionStatus) {
        String text = "The owner " + owner.value()
                + " died and the client did not reconnect; the backup router closed the request";
        return trace("request-abandoned", request, text + " with execution status " + executionStatus + ".");
    }

    static Command refused(RequestId request, ErrorCode code, ExecutionStatus executionStatus) {
        return trace(
                "request-refused",
                request,
                "Refused with " + code.code() + " and execution status " + executionStatus + ".");
    }

    static Command completed(RequestId request, int tokens, int attempts) {
        String text = "Completed with " + tokens + " tokens in " + attempts + " attempts.";
        return trace("request-completed", request, text);
    }

    static Command callDispatched(RequestId request, Target target, long fence) {
        String text = "The at-most-once request was dispatched to " + targetId(target) + " with fence " + fence + ".";
        return trace("order-dispatched", request, text);
    }

    static Command callInDoubt(RequestId request, String cause) {
        return trace(
                "order-in-doubt",
                request,
                "It is unknown whether the at-most-once request was executed: " + cause + ".");
    }

    static Command callReconciled(RequestId request, ExecutionStatus executionStatus) {
        return trace(
                "order-reconciled",
                request,
                "Reconciliation with the targets settled the at-most-once request with execution status "
                        + executionStatus + ".");
    }

    static Command poisonSuspected(RequestId request, TargetId target) {
        String text = "Target " + target.value()
                + " crashed while running the request, which gets exclusive use of a target from now on.";
        return trace("poison-suspected", request, text);
    }

    static Command poisonConfirmed(RequestId request, TargetId target) {
        String text = "Target " + target.value() + " crashed while running the request, which is refused from now on.";
        return trace("poison-condemned", request, text);
    }

    private static String targetId(Target target) {
        return target.id().value();
    }

    private static Command trace(String kind, RequestId request, String text) {
        return new Command.RecordTimelineEvent(kind, request.value(), text);
    }
}
