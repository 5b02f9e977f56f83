package org.amaranthlock.router.http;

import java.util.List;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;

/** Writes the response to a request in the format that the client requested. */
interface ResponseWriter {
    /**
     * Adds tokens to the response.
     *
     * @param originalRequest the request that the tokens were generated for, which a client names to resume the
     *     response
     * @param firstIndex position of the first token
     * @param tokens the tokens, in order
     * @return false if the response can't be continued, see {@link #failureReason()}
     */
    boolean deliver(RequestId originalRequest, int firstIndex, List<String> tokens);

    /** Returns why {@link #deliver} returned false. */
    String failureReason();

    /**
     * Completes the response.
     *
     * @param finishReason finish reason of the OpenAI API, for example {@code stop} or {@code length}
     * @param outcome outcome record of the request
     */
    void complete(String finishReason, OutcomeRecord outcome);

    /** Ends the response with an error. */
    void fail(Refusal refusal);

    /** Aborts the response so that the client can't take it for complete. */
    void abort();

    /** Returns whether the head of the response was sent. */
    boolean started();

    /** Returns the number of tokens added so far. */
    int tokenCount();
}
