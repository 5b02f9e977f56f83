package org.amaranthlock.coordination.forwarding;

import java.util.Optional;
import org.amaranthlock.model.TargetId;

/**
 * Decision on a request, with what decided it.
 *
 * @param step what was done: sent, lost, not-sent, not-run, resumed, answered, rejected, broken-off, caller-left
 * @param attempt number of the attempt that it is about; 0 for none
 * @param target target that it is about
 * @param cause what led to it
 * @param status HTTP status of an answer; 0 for none
 * @param elapsedMillis milliseconds since the request arrived
 * @param events last event that the client has; -1 for none
 * @param last whether it ends the request
 */
public record ForwardingDecision(
        String step,
        int attempt,
        Optional<TargetId> target,
        String cause,
        int status,
        long elapsedMillis,
        long events,
        boolean last) {}
