package org.amaranthlock.coordination.contention;

import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Credit from which a host starts requests, gained from its part of the room that has become free; a start uses 1 on
 * average. Not thread-safe.
 */
final class StartCredit {
    private final DoubleSupplier neededForStart;
    private double credit;
    private double needed;

    private StartCredit(double credit, DoubleSupplier neededForStart) {
        this.credit = credit;
        this.neededForStart = neededForStart;
        this.needed = neededForStart.getAsDouble();
    }

    /**
     * Creates a credit of 0. Each start uses an amount that is drawn evenly from 0 to 2, so that hosts with one request
     * each do not all start them at the same time.
     */
    static StartCredit spread(UniformRandomProvider random) {
        return new StartCredit(0, () -> 2 * random.nextDouble());
    }

    /** Creates a random credit from 0 to 1, so that hosts start at different times; each start uses 1. */
    static StartCredit regular(UniformRandomProvider random) {
        return new StartCredit(random.nextDouble(), () -> 1);
    }

    /**
     * Adds a part of the room.
     *
     * @param starts part of this host in the room, in requests
     * @param fraction fraction of the period in which the room is divided once, from 0 to 1
     */
    void add(double starts, double fraction) {
        credit = Math.min(credit + starts * fraction, Math.max(needed, starts));
    }

    /** Adds what is needed to start a number of requests. */
    void addAll(int starts) {
        credit = Math.max(credit, needed * starts);
    }

    /** Returns whether a request may be started. */
    boolean suffices() {
        return credit > 0 && credit >= needed;
    }

    /** Uses the credit for one request. */
    void use() {
        credit = Math.max(0, credit - needed);
        needed = neededForStart.getAsDouble();
    }

    /** Removes all credit, because the room for which it was given is used by others. */
    void clear() {
        credit = 0;
    }
}
