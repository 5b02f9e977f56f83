package org.amaranthlock.protocol.peer;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;

/**
 * Whole answer of a completed generation, for a caller that lost its end.
 *
 * @param record the final record, which stays the only one
 * @param connection id under which the caller was connected at the end
 * @param fingerprint hash of the request's content
 * @param reason why the generation ended
 * @param tokens all tokens
 */
public record CompletedResponse(
        OutcomeRecord record, RequestId connection, long fingerprint, String reason, List<String> tokens) {
    public CompletedResponse {
        Objects.requireNonNull(record, "record");
        Objects.requireNonNull(connection, "connection");
        Objects.requireNonNull(reason, "reason");
        tokens = List.copyOf(tokens);
    }

    /**
     * Tells whether it answers a caller.
     *
     * <p>A key may have been used for another generation since, so a caller that holds tokens gets the rest only under
     * an id that belongs to this one.
     *
     * @param caller id that the caller names
     * @param resumeAt position of the first token that the caller lacks
     */
    public boolean isResumableBy(RequestId caller, int resumeAt) {
        return resumeAt == 0 || caller.equals(record.request()) || caller.equals(connection);
    }
}
