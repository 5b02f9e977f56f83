package org.amaranthlock.coordination.targetlimit;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.TargetId;

/**
 * One run of a target's process; a limit ends with the run that named it.
 *
 * @param id identity of the target, which a restarted process may keep
 * @param startedAtMillis start time in Unix milliseconds; 0 if unknown
 * @param authority address and port, separated by a colon
 */
public record TargetIncarnation(TargetId id, long startedAtMillis, String authority) {
    private static final long UNKNOWN_START = 0;

    public TargetIncarnation {
        Objects.requireNonNull(id, "id");
        Arguments.requireText(authority, "authority");
    }

    /** Returns whether this run has ended because {@code other} runs under its id or at its address. */
    public boolean isReplacedBy(TargetIncarnation other) {
        boolean sameIdOrAddress = id.equals(other.id) || authority.equals(other.authority);
        boolean startKnown = startedAtMillis != UNKNOWN_START && other.startedAtMillis != UNKNOWN_START;
        boolean later = !startKnown || other.startedAtMillis >= startedAtMillis;
        return sameIdOrAddress && later && !equals(other);
    }
}
