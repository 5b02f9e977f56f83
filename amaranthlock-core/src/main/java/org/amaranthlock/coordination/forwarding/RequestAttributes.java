package org.amaranthlock.coordination.forwarding;

import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.Arguments;

/**
 * What the decisions need to know of a client's request.
 *
 * @param id the client's id of this attempt
 * @param timeLeftMillis how long the client waits, milliseconds from its arrival
 * @param lastEventId last event that the client has of an interrupted stream
 * @param tokens memory that the request is expected to need at an engine, tokens; 0 if the client does not say
 * @param fingerprint hash of caller, path and body, which a repeated request shares
 */
public record RequestAttributes(
        String id, OptionalLong timeLeftMillis, Optional<Long> lastEventId, long tokens, long fingerprint) {
    public RequestAttributes {
        Arguments.requireText(id, "request id");
    }
}
