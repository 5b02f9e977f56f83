package org.amaranthlock.router.http;

import java.util.List;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;

/** Writes a generated answer in the form that the caller asked for. */
interface ResponseWriter {
    /**
     * Adds tokens.
     *
     * @param answer the request whose tokens these are, which a caller names when it returns for the rest
     * @param firstIndex position of the first of the tokens
     * @param tokens the tokens, in order
     * @return false if the answer can't go on; {@link #failureReason()} tells why
     */
    boolean deliver(RequestId answer, int firstIndex, List<String> tokens);

    /** Returns why {@link #deliver} failed. */
    String failureReason();

    /** Ends the answer. */
    void complete(String reason, OutcomeRecord outcome);

    /** Ends an answer that has started with an error. */
    void fail(Refusal refusal);

    /** Breaks the connection off. */
    void abort();

    /** Tells whether a part of the answer, or its head, was sent. */
    boolean started();

    /** Returns the number of tokens added. */
    int tokenCount();
}
