package org.amaranthlock.coordination.rollout;

/** Outgoing calls and messages of a {@link RolloutController}; results of calls are passed to its methods later. */
public interface RolloutPort {
    /** Reads the progress of the order's service. */
    void readProgress(RolloutOrder order);

    /** Stores the progress if none exists for the service. */
    void createProgress(RolloutOrder order, RolloutProgress progress);

    /** Stores the progress if the stored one has the given revision. */
    void replaceProgress(RolloutOrder order, RolloutProgress progress, long revision);

    /**
     * Tells the operator the state of the order.
     *
     * @param step the final step, or any other one while the roll-out runs
     */
    void writeStatus(RolloutOrder order, RolloutStep step);

    /** Sends a grant to all hosts, this one included. */
    void broadcast(RolloutGrant grant);

    /** Reports a decision, with the evidence that decided it. */
    void onDecision(RolloutOrder order, String decision, RolloutStep step, long epoch, RolloutJudge judge);
}
