package org.amaranthlock.coordination;

/** Source of operation, query and batch numbers, shared by all components of a router. */
public final class OperationNumberGenerator {
    private long last;

    /** Returns a number that was not returned before. */
    public long next() {
        last++;
        return last;
    }
}
