package org.amaranthlock.coordination.forwarding;

import org.amaranthlock.model.Arguments;

/**
 * Load that a host has in flight on a target.
 *
 * @param prefilling requests without a first event or response; an engine prefills their prompts one after the other
 * @param generating streams that have sent events
 * @param backups KV cache backups that it keeps for streams on other engines
 * @param tokens KV cache size that requests and backups are expected to need there, in tokens
 */
public record InFlightLoad(int prefilling, int generating, int backups, long tokens) {
    /** No load. */
    public static final InFlightLoad NONE = new InFlightLoad(0, 0, 0, 0);

    public InFlightLoad {
        Arguments.requireNonNegative(prefilling, "prefilling");
        Arguments.requireNonNegative(generating, "generating");
        Arguments.requireNonNegative(backups, "backups");
        Arguments.requireNonNegative(tokens, "tokens");
    }

    /** Returns the load of one request that is to be prefilled. */
    public static InFlightLoad prefilling(long tokens) {
        return new InFlightLoad(1, 0, 0, tokens);
    }

    /** Returns the load of one generating stream. */
    public static InFlightLoad generating(long tokens) {
        return new InFlightLoad(0, 1, 0, tokens);
    }

    /** Returns the load of one KV cache backup. */
    public static InFlightLoad backup(long tokens) {
        return new InFlightLoad(0, 0, 1, tokens);
    }

    /** Returns the number of requests. */
    public int requests() {
        return prefilling + generating;
    }

    /** Returns whether there are neither requests nor backups. */
    public boolean isEmpty() {
        return prefilling + generating + backups == 0;
    }

    /** Returns the sum of both loads. */
    public InFlightLoad plus(InFlightLoad other) {
        return new InFlightLoad(
                prefilling + other.prefilling,
                generating + other.generating,
                backups + other.backups,
                tokens + other.tokens);
    }

    /** Returns the difference of both loads; {@code other} must be part of this load. */
    public InFlightLoad minus(InFlightLoad other) {
        return new InFlightLoad(
                prefilling - other.prefilling,
                generating - other.generating,
                backups - other.backups,
                tokens - other.tokens);
    }

    /** Returns this load without {@code other}, which is part of it; null if nothing is left, for use in maps. */
    InFlightLoad minusOrNull(InFlightLoad other) {
        InFlightLoad remaining = minus(other);
        return remaining.isEmpty() ? null : remaining;
    }
}
