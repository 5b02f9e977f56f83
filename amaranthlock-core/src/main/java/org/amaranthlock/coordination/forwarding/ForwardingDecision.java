package org.amaranthlock.coordination.forwarding;

import java.util.Optional;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;

/**
 * Decision on a request and its cause, for the log.
 *
 * @param step action or observation: checking, sent, sent-to-copy, first-event, copied, not-copied, crash-counted,
 *     crash-with-domain, lost, not-sent, not-run, stream-version; or the final one: answered, rejected, broken-off, caller-left
 * @param attempt number of the attempt concerned; 0 for none
 * @param target target concerned
 * @param version version of the software of that target
 * @param cause reason for the decision
 * @param status HTTP status of a response; 0 for none
 * @param elapsedMillis milliseconds since the request arrived
 * @param lastEventId id of the last event sent to the client; -1 for none
 * @param last whether the decision completes the request
 */
public record ForwardingDecision(
        String step,
        int attempt,
        Optional<TargetId> target,
        Optional<SoftwareVersion> version,
        String cause,
        int status,
        long elapsedMillis,
        long lastEventId,
        boolean last) {}
