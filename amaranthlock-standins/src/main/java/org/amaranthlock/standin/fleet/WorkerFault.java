package org.amaranthlock.standin.fleet;

/** What a worker does instead of answering the next request. */
public enum WorkerFault {
    /** Says that it did not run the request. */
    SHED,
    /** Says that it is another worker. */
    MISDIRECTED,
    /** Runs the request and answers nothing. */
    HANG,
    /** Runs the request and resets the connection. */
    RESET,
    /** Runs the request and closes in the middle of the answer. */
    TRUNCATED_RESPONSE,
    /** Sends bytes that are no answer. */
    MALFORMED_RESPONSE,
    /** Sends the answer twice. */
    DUPLICATE_RESPONSE,
    /** Sends an answer to another request before its own. */
    FOREIGN_RESPONSE_FIRST,
    /** Sends an answer without a length and ends it by closing. */
    MISSING_CONTENT_LENGTH,
    /** Fails after running the request. */
    SERVER_ERROR,
    /** Answers and sends the same answer once more a little later, when another one may be expected. */
    DELAYED_DUPLICATE,
    /** Answers before it has read the request's body, and reads on. */
    EARLY_RESPONSE,
    /** Crashes when it begins to run the request. */
    CRASH
}
