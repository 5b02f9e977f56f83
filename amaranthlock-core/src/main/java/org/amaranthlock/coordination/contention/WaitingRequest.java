package org.amaranthlock.coordination.contention;

import java.util.Objects;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Arguments;

/**
 * Properties of a request that determine its place in a queue.
 *
 * @param account client account, whose share it uses
 * @param rank rank on arrival
 * @param returned whether its client was rejected before and has waited before its retry
 * @param sinceMillis time of the client's first attempt
 * @param goalMillis time within which its first event is useful, in milliseconds from the first attempt
 * @param deadlineMillis time at which the client gives up
 * @param prefillMillis predicted time to prefill its prompt, in milliseconds, greater than 0
 * @param generationMillis least time that it usually takes to generate the answer, in milliseconds
 * @param tokens KV cache size that it needs at the end of its answer, in tokens
 */
public record WaitingRequest(
        AccountId account,
        RequestRank rank,
        boolean returned,
        long sinceMillis,
        long goalMillis,
        long deadlineMillis,
        double prefillMillis,
        double generationMillis,
        long tokens) {
    public WaitingRequest {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(rank, "rank");
        Arguments.requirePositive(goalMillis, "goal");
        Arguments.require(prefillMillis > 0, "prefill time must be positive: " + prefillMillis);
    }

    /** Returns the rank as a number, raised by one step for each half of the goal that the client has waited. */
    public int effectivePriority(long nowMillis) {
        long halfGoals = Math.max(0, nowMillis - sinceMillis) * 2 / goalMillis;
        return rank.raisedBy(halfGoals).number();
    }

    /** Returns the time left to the goal if the request is sent now, in milliseconds; negative if it is too late. */
    public long slackMillis(long nowMillis) {
        return sinceMillis + goalMillis - nowMillis - Math.round(prefillMillis);
    }

    /** Returns whether a request that is sent at a time can be answered completely before the deadline. */
    public boolean isUseful(double startMillis) {
        return startMillis + prefillMillis + generationMillis <= deadlineMillis;
    }
}
