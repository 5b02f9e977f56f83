package org.amaranthlock.coordination.rollout;

/** Verdict on a new version. */
public enum Verdict {
    /** There are too few outcomes to decide. */
    UNDECIDED,
    /** It is no worse than the old version on any route. */
    GOOD,
    /** It is worse on one route or on all routes together. */
    BAD
}
