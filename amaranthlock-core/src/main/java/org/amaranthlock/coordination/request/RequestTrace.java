package org.amaranthlock.coordination.request;

import org.amaranthlock.coordination.Command;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Timeline entries about requests; there is none per token, so that long answers do not fill the timeline. */
final class RequestTrace {
    private RequestTrace() {}

    static Command attemptStarted(RequestId request, int attempt, Target target) {
        return trace("attempt-started", request, "Attempt " + attempt + " started on " + name(target) + ".");
    }

    static Command attemptLost(RequestId request, int attempt, Target target, int tokens, String why) {
        String text = "Attempt " + attempt + " on " + name(target) + " was lost after " + tokens + " tokens: " + why;
        return trace("attempt-lost", request, text + ".");
    }

    static Command resumedByNewAttempt(RequestId request, Target target, int position) {
        String text = "The answer goes on at token " + position + " by a new attempt on " + name(target) + ".";
        return trace("answer-resumed", request, text);
    }

    static Command resumedByAttaching(RequestId request, Target target, int position) {
        String text = "The answer goes on at token " + position + " by attaching to the stream on ";
        return trace("answer-resumed", request, text + name(target) + ".");
    }

    static Command resumedFromCompletedAnswer(RequestId request, int position) {
        String text = "A returned caller gets the answer from token " + position + " on; it was complete already.";
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
                : "No checkpoint was found, but not every router that may hold one answered.";
        return trace("checkpoint-missing", spec.id(), text);
    }

    static Command abandoned(RequestId request, ExecutionStatus fate) {
        String text = "The caller was gone, so the request was closed with fate " + fate + ".";
        return trace("request-abandoned", request, text);
    }

    static Command abandonedByBackup(RequestId request, HostId owner, ExecutionStatus fate) {
        String text =
                "The owner " + owner.value() + " died and the caller did not return; the keeper closed the request";
        return trace("request-abandoned", request, text + " with fate " + fate + ".");
    }

    static Command refused(RequestId request, ErrorCode code, ExecutionStatus fate) {
        return trace("request-refused", request, "Refused with " + code.code() + " and fate " + fate + ".");
    }

    static Command completed(RequestId request, int tokens, int attempts) {
        String text = "Completed with " + tokens + " tokens in " + attempts + " attempts.";
        return trace("request-completed", request, text);
    }

    static Command orderDispatched(RequestId request, Target target, long fence) {
        String text = "The order was dispatched to " + name(target) + " with fence " + fence + ".";
        return trace("order-dispatched", request, text);
    }

    static Command orderInDoubt(RequestId request, String why) {
        return trace("order-in-doubt", request, "It is unknown whether the order ran: " + why + ".");
    }

    static Command orderReconciled(RequestId request, ExecutionStatus fate) {
        return trace("order-reconciled", request, "The targets settled the order with fate " + fate + ".");
    }

    static Command poisonSuspected(RequestId request, TargetId target) {
        String text = "Target " + target.value() + " died under the request, which runs alone from now on.";
        return trace("poison-suspected", request, text);
    }

    static Command poisonConfirmed(RequestId request, TargetId target) {
        String text = "Target " + target.value() + " died under the request, which is refused from now on.";
        return trace("poison-condemned", request, text);
    }

    private static String name(Target target) {
        return target.id().value();
    }

    private static Command trace(String kind, RequestId request, String text) {
        return new Command.RecordTimelineEvent(kind, request.value(), text);
    }
}
