package org.amaranthlock.model;

/** Whether a request was executed. */
public enum ExecutionStatus {
    /** The request was executed. */
    RAN,
    /** The request was never executed and never will be. */
    NOT_RUN,
    /** The request may or may not have been executed. */
    UNKNOWN
}
