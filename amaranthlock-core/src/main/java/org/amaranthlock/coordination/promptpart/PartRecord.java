package org.amaranthlock.coordination.promptpart;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthlock.model.PromptPartId;

/**
 * Crashes and answers of the requests with one prompt part, as all hosts saw them.
 *
 * <p>An answer that began after the last crash ends the series of crashes: a part that crashes targets does so before any
 * answer begins. Not thread-safe.
 */
final class PartRecord {
    static final long NEVER = Long.MIN_VALUE / 2; // half, so that an age does not overflow

    /** Time for which an answer that began shows that a part was sound, in milliseconds. */
    static final long SOUND_MILLIS = 60_000;

    private int crashes;
    private long crashedAtMillis = NEVER;
    private long begunAtMillis = NEVER;
    private Set<PromptPartId> companions = Set.of();

    int crashes() {
        return crashes;
    }

    long crashedAtMillis() {
        return crashedAtMillis;
    }

    long begunAtMillis() {
        return begunAtMillis;
    }

    Set<PromptPartId> companions() {
        return companions;
    }

    /** Returns whether a crash was seen that no later answer contradicts. */
    boolean isSuspect() {
        return crashes > 0 && crashedAtMillis > begunAtMillis;
    }

    /** Returns whether an answer began within a minute before the last crash. */
    boolean wasSoundBeforeCrash() {
        return begunAtMillis != NEVER && crashedAtMillis - begunAtMillis < SOUND_MILLIS;
    }

    /**
     * Records a crash under a request with the part.
     *
     * @param crashesAtSend crashes that were known when the request was sent
     * @param others parts of the request that may have caused the crash instead
     */
    void recordCrash(int crashesAtSend, Set<PromptPartId> others, long nowMillis) {
        boolean continued = isSuspect();
        merge(Math.max(crashesAtSend + 1, continued ? crashes : 0), others, nowMillis, continued);
    }

    /** Records that a target began to answer a request with the part; returns whether the part was suspect. */
    boolean recordBegun(long atMillis) {
        boolean wasSuspect = isSuspect();
        begunAtMillis = Math.max(begunAtMillis, atMillis);
        return wasSuspect && !isSuspect();
    }

    /**
     * Merges a crash that another host reports; one before the last answer is ignored.
     *
     * @return whether more crashes are known now
     */
    boolean mergeCrash(int reportedCrashes, Set<PromptPartId> others, long atMillis) {
        if (atMillis <= begunAtMillis) {
            return false;
        }
        boolean continued = isSuspect();
        int before = continued ? crashes : 0;
        merge(Math.max(reportedCrashes, before), others, Math.max(atMillis, crashedAtMillis), continued);
        return crashes > before;
    }

    PartEvidence toEvidence(PromptPartId part, long nowMillis) {
        return new PartEvidence(
                part,
                isSuspect() ? crashes : 0,
                isSuspect() ? companions : Set.of(),
                isSuspect() ? OptionalLong.of(Math.max(0, nowMillis - crashedAtMillis)) : OptionalLong.empty(),
                begunAtMillis == NEVER
                        ? OptionalLong.empty()
                        : OptionalLong.of(Math.max(0, nowMillis - begunAtMillis)));
    }

    private void merge(int newCrashes, Set<PromptPartId> others, long atMillis, boolean continued) {
        Set<PromptPartId> common = new HashSet<>(others);
        if (continued) {
            common.retainAll(companions);
        }
        companions = Set.copyOf(common);
        crashes = newCrashes;
        crashedAtMillis = atMillis;
    }
}
