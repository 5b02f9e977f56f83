package org.amaranthlock.coordination.contention;

import java.util.Objects;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Arguments;

/**
 * Requests of one client account and priority that wait at a host.
 *
 * @param priority effective rank as a number; 0 is the highest
 * @param account client account
 * @param requests number of requests, at least 1
 * @param prefillMillis predicted time to prefill their prompts on one engine, in milliseconds
 * @param leastSlackMillis least time that one of them has left to its goal, in milliseconds; in whole seconds if it is
 *     reported, because it falls all the time
 */
public record Backlog(int priority, AccountId account, int requests, long prefillMillis, long leastSlackMillis) {
    private static final long MILLIS_PER_SECOND = 1_000;

    public Backlog {
        Objects.requireNonNull(account, "account");
        Arguments.requirePositive(requests, "requests");
        Arguments.requireNonNegative(prefillMillis, "prefill time");
    }

    /** Returns this as it is reported; what did not change for the other hosts stays equal for a second. */
    Backlog rounded() {
        long seconds = Math.floorDiv(leastSlackMillis, MILLIS_PER_SECOND);
        return new Backlog(priority, account, requests, prefillMillis, seconds * MILLIS_PER_SECOND);
    }

    /** Returns the sum of two backlogs of the same priority and account. */
    Backlog plus(Backlog other) {
        return new Backlog(
                priority,
                account,
                requests + other.requests,
                prefillMillis + other.prefillMillis,
                Math.min(leastSlackMillis, other.leastSlackMillis));
    }
}
