package org.amaranthlock.protocol.peer;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;

/**
 * Complete response of a finished generation, for a client that did not receive the end of it.
 *
 * @param record the final outcome record, of which a request has only one
 * @param connection id of the request with which the client last connected; differs from the id in {@code record} after
 *     a reconnect
 * @param fingerprint hash of the request content
 * @param reason reason why the generation ended
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
     * Returns whether a client may resume from this response.
     *
     * <p>The key may have been used for another generation in the meantime. A client that already holds tokens
     * therefore receives the rest only if it names a request id of this generation.
     *
     * @param requestId request id that the client names
     * @param resumeAt position of the first token that the client lacks
     */
    public boolean isResumableBy(RequestId requestId, int resumeAt) {
        return resumeAt == 0 || requestId.equals(record.request()) || requestId.equals(connection);
    }
}
