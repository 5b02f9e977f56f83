package org.amaranthlock.coordination.forwarding;

import org.apache.commons.rng.RestorableUniformRandomProvider;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Copies of random generators, for looking ahead without using up their numbers. */
public final class RandomCopy {
    private RandomCopy() {}

    /**
     * Returns a generator that will return the same numbers as the given one.
     *
     * @param splitMix generator that was created by {@link RandomSource#SPLIT_MIX_64}
     * @throws IllegalArgumentException if it is a generator of another kind
     */
    public static UniformRandomProvider of(UniformRandomProvider splitMix) {
        if (!(splitMix instanceof RestorableUniformRandomProvider restorable)) {
            throw new IllegalArgumentException("The state of the random generator cannot be read; use SPLIT_MIX_64.");
        }
        RestorableUniformRandomProvider copy = RandomSource.SPLIT_MIX_64.create(0L);
        copy.restoreState(restorable.saveState());
        return copy;
    }
}
