package org.amaranthlock.coordination;

/** Generates operation, query and batch numbers that are unique within a router; shared by all its components. */
public final class OperationNumberGenerator {
    private long last;

    /** Returns the next unused number. */
    public long next() {
        last++;
        return last;
    }
}
