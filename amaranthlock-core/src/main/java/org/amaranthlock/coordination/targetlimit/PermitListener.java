package org.amaranthlock.coordination.targetlimit;

/** Listener for the decision on a permit request. */
@FunctionalInterface
public interface PermitListener {
    /** Called once; a granted permit is in the stock of the host. */
    void onDecision(PermitDecision decision, long nowMillis);
}
