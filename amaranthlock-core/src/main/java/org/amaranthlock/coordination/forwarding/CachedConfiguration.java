package org.amaranthlock.coordination.forwarding;

import java.util.Optional;

/**
 * Newest known configuration and the time since it was last confirmed to be the newest.
 *
 * <p>The version never decreases. The age counts from the time at which the confirming call was sent, because the
 * response reflects the state of the store at that time or later.
 */
public final class CachedConfiguration {
    private EntryConfiguration current;
    private long confirmedAtMillis;

    /**
     * Applies the result of a configuration call.
     *
     * @param fetched configuration that the call returned
     * @param sentAtMillis time at which the call was sent
     * @return whether another configuration was applied: a newer one, or one that took the version of a lost one
     */
    public boolean confirm(EntryConfiguration fetched, long sentAtMillis) {
        if (current != null && fetched.version() < current.version()) {
            return false;
        }
        boolean replaced = current != fetched;
        current = fetched;
        confirmedAtMillis = Math.max(confirmedAtMillis, sentAtMillis);
        return replaced;
    }

    /** Returns the newest known configuration; empty if none is known. */
    public Optional<EntryConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the milliseconds since the configuration was last confirmed to be the newest; {@link Long#MAX_VALUE} if
     * none is known.
     */
    public long ageMillis(long nowMillis) {
        return current == null ? Long.MAX_VALUE : nowMillis - confirmedAtMillis;
    }
}
