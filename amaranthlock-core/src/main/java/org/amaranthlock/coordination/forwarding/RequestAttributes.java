package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.PromptPartId;

/**
 * Attributes of a client's request that forwarding decisions depend on.
 *
 * @param id request id that the client chose; identifies one attempt of the client
 * @param timeLeftMillis time that the client waits for the response, in milliseconds from the arrival of the request
 * @param lastEventId id of the last event that the client received of an interrupted stream
 * @param resumedRequest id of the attempt of the client that brought the first event of that stream
 * @param tokens KV cache size that the request is expected to need on an engine, in tokens; 0 if unspecified
 * @param lastPromptPart last part of the prompt, which belongs to the request or its session; empty if unspecified
 * @param sharedPromptParts the other parts of the prompt, which requests may share
 * @param fingerprint hash of client, path and body; equal for retries of the same request
 * @param lengthHint length of the response that the client expects, in tokens; empty if unknown
 */
public record RequestAttributes(
        String id,
        OptionalLong timeLeftMillis,
        Optional<Long> lastEventId,
        Optional<String> resumedRequest,
        long tokens,
        Optional<PromptPart> lastPromptPart,
        List<PromptPartId> sharedPromptParts,
        long fingerprint,
        OptionalLong lengthHint) {
    public RequestAttributes {
        Arguments.requireText(id, "request id");
        sharedPromptParts = List.copyOf(sharedPromptParts);
    }

    /** Creates the attributes of a request whose client gives no hint of the length of the response. */
    public RequestAttributes(
            String id,
            OptionalLong timeLeftMillis,
            Optional<Long> lastEventId,
            Optional<String> resumedRequest,
            long tokens,
            Optional<PromptPart> lastPromptPart,
            List<PromptPartId> sharedPromptParts,
            long fingerprint) {
        this(
                id,
                timeLeftMillis,
                lastEventId,
                resumedRequest,
                tokens,
                lastPromptPart,
                sharedPromptParts,
                fingerprint,
                OptionalLong.empty());
    }

    /** Returns the time that the client waits for the response, but at most {@code maxMillis}, in milliseconds. */
    public long timeLeftMillis(long maxMillis) {
        return Math.min(maxMillis, timeLeftMillis.orElse(maxMillis));
    }

    /**
     * Returns the id of the attempt that brought the first event of the stream; this attempt itself if its client names
     * none, as when another host has passed on a stream that it began.
     */
    public String beginningAttempt() {
        return resumedRequest.orElse(id);
    }
}
