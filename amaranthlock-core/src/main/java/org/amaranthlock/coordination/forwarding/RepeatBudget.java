package org.amaranthlock.coordination.forwarding;

/**
 * Limits the repeats that one host sends to a service, so that the hosts together stay within the fleet's budget without
 * telling each other.
 *
 * <p>Load pattern: a failing service makes every request repeat; unlimited repeats would double its load just then. Not
 * thread-safe.
 */
public final class RepeatBudget {
    private final double repeatsPerRequest;
    private final double refillPerMillis;
    private final double mostSaved;
    private double saved;
    private long refilledAtMillis;

    /**
     * Creates a full budget.
     *
     * @param repeatsPerRequest repeats that each first send earns
     * @param refillPerSecond repeats that a second earns
     * @param mostSaved most repeats that can be saved up
     */
    public RepeatBudget(double repeatsPerRequest, double refillPerSecond, double mostSaved) {
        this.repeatsPerRequest = repeatsPerRequest;
        this.refillPerMillis = refillPerSecond / 1_000;
        this.mostSaved = mostSaved;
        this.saved = mostSaved;
    }

    /** Counts the first send of a request. */
    public void requested() {
        saved = Math.min(mostSaved, saved + repeatsPerRequest);
    }

    /** Takes one repeat out of the budget; returns false if none is left. */
    public boolean tryTake(long nowMillis) {
        double earned = Math.max(0, nowMillis - refilledAtMillis) * refillPerMillis;
        saved = Math.min(mostSaved, saved + earned);
        refilledAtMillis = nowMillis;
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }

    /** Gives back a repeat that did not reach its target. */
    public void giveBack() {
        saved = Math.min(mostSaved, saved + 1);
    }
}
