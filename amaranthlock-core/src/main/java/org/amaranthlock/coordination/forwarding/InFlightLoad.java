package org.amaranthlock.coordination.forwarding;

import org.amaranthlock.model.Arguments;

/**
 * Work that a host has at a target.
 *
 * @param prefilling requests that have no first event or answer yet; an engine reads their prompts one after the other
 * @param generating streams that have events
 * @param copies copies of runs at other engines that it keeps
 * @param tokens memory that requests and copies are expected to need there, tokens
 */
public record InFlightLoad(int prefilling, int generating, int copies, long tokens) {
    /** No work. */
    public static final InFlightLoad NONE = new InFlightLoad(0, 0, 0, 0);

    /** Checks that nothing is negative. */
    public InFlightLoad {
        Arguments.requireNonNegative(prefilling, "reading");
        Arguments.requireNonNegative(generating, "running");
        Arguments.requireNonNegative(copies, "copies");
        Arguments.requireNonNegative(tokens, "tokens");
    }

    /** Returns one request whose prompt is to be read. */
    public static InFlightLoad prefilling(long tokens) {
        return new InFlightLoad(1, 0, 0, tokens);
    }

    /** Returns one running stream. */
    public static InFlightLoad generating(long tokens) {
        return new InFlightLoad(0, 1, 0, tokens);
    }

    /** Returns one copy. */
    public static InFlightLoad copy(long tokens) {
        return new InFlightLoad(0, 0, 1, tokens);
    }

    /** Returns the number of requests. */
    public int requests() {
        return prefilling + generating;
    }

    /** Returns whether there is neither a request nor a copy. */
    public boolean isEmpty() {
        return prefilling + generating + copies == 0;
    }

    /** Returns the work of both. */
    public InFlightLoad plus(InFlightLoad other) {
        return new InFlightLoad(
                prefilling + other.prefilling,
                generating + other.generating,
                copies + other.copies,
                tokens + other.tokens);
    }

    /** Returns this without {@code other}, which must be part of it. */
    public InFlightLoad minus(InFlightLoad other) {
        return new InFlightLoad(
                prefilling - other.prefilling,
                generating - other.generating,
                copies - other.copies,
                tokens - other.tokens);
    }
}
