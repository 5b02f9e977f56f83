package org.amaranthlock.standin.fleet;

/** Faulty behaviour of a worker, which replaces its normal response to a request. */
public enum WorkerFault {
    /** Rejects the request with 503 and states that it was not run. */
    SHED,
    /** Rejects the request with 421, as a worker with another id does. */
    MISDIRECTED,
    /** Executes the request and never responds. */
    HANG,
    /** Executes the request and resets the connection. */
    RESET,
    /** Executes the request and closes the connection in the middle of the response. */
    TRUNCATED_RESPONSE,
    /** Executes the request and sends bytes that are not HTTP. */
    MALFORMED_RESPONSE,
    /** Executes the request and sends the response twice in one write. */
    DUPLICATE_RESPONSE,
    /** Executes the request and sends a response for another request before its own. */
    FOREIGN_RESPONSE_FIRST,
    /** Executes the request and sends a response without a length, which ends with the connection. */
    MISSING_CONTENT_LENGTH,
    /** Executes the request and responds with 500. */
    SERVER_ERROR,
    /** Executes the request and sends the response again later, when the response to the next request may be due. */
    DELAYED_DUPLICATE,
    /** Responds before reading the request body, then reads the body and executes the request. */
    EARLY_RESPONSE,
    /** Crashes when it starts to execute the request. */
    CRASH,
    /** Executes the request and sends a header line that never ends. */
    ENDLESS_HEADER,
    /** Executes the request and sends header lines without end. */
    ENDLESS_HEADER_LINES,
    /** Executes the request and sends blank lines without end in place of a response. */
    ENDLESS_BLANK_LINES,
    /** Executes the request and sends a body in chunks of one byte without end. */
    ENDLESS_SMALL_CHUNKS,
    /** Executes the request, responds, and sends blank lines without end after the response. */
    ENDLESS_BLANK_LINES_AFTER_RESPONSE,
    /** Executes the request and sends interim responses without end. */
    ENDLESS_INTERIM_RESPONSES,
    /** Executes the request and sends a body that never ends. */
    ENDLESS_BODY,
    /** Executes the request and sends a response for another request that never ends. */
    ENDLESS_FOREIGN_RESPONSE,
    /** Executes the request and sends a stream whose first event never ends. */
    ENDLESS_EVENT,
    /** Executes the request and sends a stream whose first event consists of short lines without end. */
    ENDLESS_LINES,
    /** Executes the request and sends a stream that consists of one event, again and again. */
    ENDLESS_REPEATED_EVENT,
    /** Executes the request and sends a stream of large events without end. */
    ENDLESS_STREAM;

    /** Returns whether the worker sends bytes until the caller closes the connection. */
    public boolean isEndless() {
        return name().startsWith("ENDLESS_");
    }
}
