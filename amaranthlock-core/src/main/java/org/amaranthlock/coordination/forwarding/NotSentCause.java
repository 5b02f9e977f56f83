package org.amaranthlock.coordination.forwarding;

/** Causes of attempts of which no byte was sent, as far as decisions depend on them. */
public final class NotSentCause {
    /** The target's machine refused the connection; this shows a path to it, without a process that listens there. */
    public static final String CONNECTION_REFUSED = "connection-refused";

    private NotSentCause() {}
}
