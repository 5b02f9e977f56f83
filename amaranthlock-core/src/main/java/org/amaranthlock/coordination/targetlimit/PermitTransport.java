package org.amaranthlock.coordination.targetlimit;

import java.util.Optional;
import java.util.function.Consumer;

/** Sends permit requests to other hosts. */
public interface PermitTransport {
    /**
     * Asks a host for a permit.
     *
     * @param result receives the decision; empty if the host cannot be reached or does not answer in time. Called once,
     *     not within this call, and on the thread of the caller
     */
    void ask(String host, PermitRequest request, Consumer<Optional<PermitDecision>> result);
}
