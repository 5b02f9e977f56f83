package org.amaranthlock.coordination.forwarding;

import java.util.Optional;

/**
 * Newest known configuration and how long ago it was known to be the newest.
 *
 * <p>Versions only go forward. The age counts from when the confirming call was sent, because the answer shows the state
 * at some moment after that.
 */
public final class CachedConfiguration {
    private EntryConfiguration current;
    private long confirmedAtMillis;

    /**
     * Takes over what a call returned.
     *
     * @param read configuration that the call returned
     * @param sentAtMillis when the call was sent
     * @return whether a newer version came into force
     */
    public boolean confirm(EntryConfiguration read, long sentAtMillis) {
        if (current != null && read.version() < current.version()) {
            return false;
        }
        boolean newer = current == null || read.version() > current.version();
        if (newer) {
            current = read;
        }
        confirmedAtMillis = Math.max(confirmedAtMillis, sentAtMillis);
        return newer;
    }

    /** Returns the configuration in force, if any is known. */
    public Optional<EntryConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the milliseconds since the configuration was known to be the newest. */
    public long ageMillis(long nowMillis) {
        return current == null ? Long.MAX_VALUE : nowMillis - confirmedAtMillis;
    }
}
