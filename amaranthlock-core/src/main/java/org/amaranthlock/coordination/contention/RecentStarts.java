package org.amaranthlock.coordination.contention;

import java.util.HashMap;
import java.util.Map;
import org.amaranthlock.model.AccountId;

/**
 * Prefill time that all hosts have recently started for each client account; older starts decay exponentially. Not
 * thread-safe.
 */
final class RecentStarts {
    /** Time after which a start keeps 1/e of its weight, in milliseconds. */
    static final double DECAY_MILLIS = 6_000;

    /** Prefill time below which an account is forgotten, in milliseconds. */
    private static final double NEGLIGIBLE_MILLIS = 1;

    private final Map<AccountId, Double> accounts = new HashMap<>();
    private long decayedAtMillis;

    /** Adds prefill time that was started, by this host or according to the report of another one. */
    void add(AccountId account, double prefillMillis, long nowMillis) {
        decay(nowMillis);
        accounts.merge(account, prefillMillis, Double::sum);
    }

    /** Returns the prefill time started for each account, in milliseconds; accounts without any are omitted. */
    Map<AccountId, Double> millis(long nowMillis) {
        double left = fractionLeft(nowMillis);
        Map<AccountId, Double> decayed = new HashMap<>();
        accounts.forEach((account, millis) -> {
            if (millis * left >= NEGLIGIBLE_MILLIS) {
                decayed.put(account, millis * left);
            }
        });
        return decayed;
    }

    private void decay(long nowMillis) {
        double left = fractionLeft(nowMillis);
        accounts.replaceAll((_, millis) -> millis * left);
        accounts.values().removeIf(millis -> millis < NEGLIGIBLE_MILLIS);
        decayedAtMillis = Math.max(decayedAtMillis, nowMillis);
    }

    private double fractionLeft(long nowMillis) {
        return Math.exp(Math.min(0, decayedAtMillis - nowMillis) / DECAY_MILLIS);
    }
}
