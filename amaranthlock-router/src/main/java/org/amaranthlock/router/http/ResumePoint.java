package org.amaranthlock.router.http;

import org.amaranthlock.coordination.ledger.LedgerPartitions;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.RequestId;

/**
 * Last event that a resuming client received.
 *
 * @param request the request that the client resumes
 * @param position position of the last token that the client received
 */
record ResumePoint(RequestId request, int position) {
    /**
     * Parses the header {@code Last-Event-ID}.
     *
     * @throws AmaranthlockException with {@code INVALID_REQUEST} if it is not an event id of this service
     */
    static ResumePoint parse(String header) {
        int colon = header.lastIndexOf(':');
        try {
            RequestId request = new RequestId(header.substring(0, Math.max(colon, 0)));
            // Throws an exception if the id does not begin with a partition.
            LedgerPartitions.ofRequest(request);
            int position = Integer.parseInt(header.substring(colon + 1));
            if (position >= 0 && position < Integer.MAX_VALUE) {
                return new ResumePoint(request, position);
            }
        } catch (IllegalArgumentException e) {
            throw invalid(header, e);
        }
        throw invalid(header, null);
    }

    /** Returns the position of the first token to send. */
    int nextPosition() {
        return position + 1;
    }

    private static AmaranthlockException invalid(String header, Exception cause) {
        return new AmaranthlockException(
                ErrorCode.INVALID_REQUEST,
                "The header Last-Event-ID '" + header
                        + "' is not '<request id>:<position>'; send the id of the last event received.",
                cause);
    }
}
