package org.amaranthlock.coordination.promptpart;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.amaranthlock.model.PromptPartId;

/** What this host knows of prompt parts; bounded, however many parts requests have. Not thread-safe. */
final class PartRecords {
    /** Consecutive crashes from which on requests with a part are rejected. */
    static final int CONDEMNING_CRASHES = 3;

    /** Time after its last crash for which a part is suspect that has fewer crashes, in milliseconds. */
    private static final long SUSPICION_MILLIS = 60_000;

    /** Time after which a part is tried again whose requests are rejected, in milliseconds. */
    private static final long FIRST_RETRIAL_MILLIS = 300_000;

    /** Factor by which the time until the next trial grows with each crash. */
    private static final int RETRIAL_FACTOR = 4;

    /** How often the time until the next trial grows; the longest is three and a half days. */
    private static final int MAX_RETRIAL_GROWTHS = 5;

    /** Parts of which crashes are remembered. */
    private static final int MAX_RECORDS = 512;

    /** Parts of which it is remembered that answers began, the last ones. */
    private static final int MAX_BEGUN = 4_096;

    private final PromptPartListener listener;
    private final Map<PromptPartId, PartRecord> records = new HashMap<>();
    private final Set<PromptPartId> changed = new HashSet<>();

    /** Parts whose requests are rejected, or no longer are, because of what this host saw. */
    private final Set<PromptPartId> verdicts = new HashSet<>();

    private final Map<PromptPartId, Long> begunAtMillis = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPartId, Long> eldest) {
            return size() > MAX_BEGUN;
        }
    };

    PartRecords(PromptPartListener listener) {
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Returns the number of consecutive crashes under requests with a part, of which the last one is not too old. */
    int crashes(PromptPartId part, long nowMillis) {
        PartRecord partRecord = records.get(part);
        if (partRecord == null || !partRecord.isSuspect() || isExplained(partRecord)) {
            return 0;
        }
        boolean expired = partRecord.crashes() < CONDEMNING_CRASHES
                && nowMillis - partRecord.crashedAtMillis() >= SUSPICION_MILLIS;
        return expired ? 0 : partRecord.crashes();
    }

    /**
     * Returns whether requests with a part have to be tried one at a time. One crash does not suffice if answers began
     * lately: most requests may share such a part, and targets crash for other reasons too.
     */
    private boolean isSuspect(PromptPartId part, long nowMillis) {
        int crashes = crashes(part, nowMillis);
        return crashes > 1 || (crashes == 1 && !records.get(part).wasSoundBeforeCrash());
    }

    /**
     * Returns the time until a request with these parts may be tried again, in milliseconds; 0 if it may be tried now.
     *
     * <p>A part is held responsible for crashes only together with the parts that all requests under which targets
     * crashed have in common with it. A request that has the part without these shows which of them it was.
     */
    long millisUntilTrial(Set<PromptPartId> parts, long nowMillis) {
        long longest = 0;
        for (PromptPartId part : parts) {
            if (crashes(part, nowMillis) >= CONDEMNING_CRASHES && parts.containsAll(suspectCompanions(part))) {
                PartRecord partRecord = records.get(part);
                long dueAt = partRecord.crashedAtMillis() + retrialDelayMillis(partRecord.crashes());
                longest = Math.max(longest, dueAt - nowMillis);
            }
        }
        return longest;
    }

    /**
     * Returns whether a request has a suspect part together with all the parts that were there at each of its crashes, so
     * that its target is likely to crash too.
     */
    boolean isBlamed(Set<PromptPartId> parts, long nowMillis) {
        return parts.stream()
                .anyMatch(part -> isSuspect(part, nowMillis) && parts.containsAll(suspectCompanions(part)));
    }

    /** Returns the suspect parts among the given ones. */
    Set<PromptPartId> suspects(Set<PromptPartId> parts, long nowMillis) {
        Set<PromptPartId> suspects = new HashSet<>(parts);
        suspects.removeIf(part -> !isSuspect(part, nowMillis));
        return suspects;
    }

    /** Records a crash of the target of a request; parts of which an answer began lately are the cause only if all did. */
    void recordCrash(Map<PromptPartId, Integer> crashesAtSend, long nowMillis) {
        Set<PromptPartId> candidates = new HashSet<>(crashesAtSend.keySet());
        candidates.removeIf(part -> wasSoundLately(part, nowMillis));
        if (candidates.isEmpty()) {
            candidates.addAll(crashesAtSend.keySet());
        }
        for (PromptPartId part : candidates) {
            Set<PromptPartId> others = new HashSet<>(candidates);
            others.remove(part);
            PartRecord partRecord = recordOf(part);
            partRecord.recordCrash(crashesAtSend.get(part), others, nowMillis);
            changed.add(part);
            if (partRecord.crashes() >= CONDEMNING_CRASHES) {
                verdicts.add(part);
            }
            listener.onSuspected(part, partRecord.crashes(), partRecord.companions());
        }
        trim();
    }

    /** Records that a target began to answer a request with these parts. */
    void recordBegun(Set<PromptPartId> parts, long nowMillis) {
        for (PromptPartId part : parts) {
            begunAtMillis.remove(part); // so that it is the newest entry
            begunAtMillis.put(part, nowMillis);
            PartRecord partRecord = records.get(part);
            if (partRecord != null && partRecord.recordBegun(nowMillis)) {
                changed.add(part);
                if (partRecord.crashes() >= CONDEMNING_CRASHES) {
                    verdicts.add(part);
                }
                listener.onCleared(part);
            }
        }
    }

    /** Merges what another host reports. */
    void merge(PartEvidence evidence, long nowMillis) {
        PromptPartId part = evidence.part();
        if (!records.containsKey(part) && evidence.crashAgeMillis().isEmpty()) {
            return;
        }
        PartRecord partRecord = recordOf(part);
        evidence.begunAgeMillis().ifPresent(age -> {
            if (partRecord.recordBegun(nowMillis - age)) {
                listener.onCleared(part);
            }
        });
        boolean moreCrashes = evidence.crashAgeMillis().isPresent()
                && partRecord.mergeCrash(
                        evidence.crashes(),
                        evidence.companions(),
                        nowMillis - evidence.crashAgeMillis().getAsLong());
        if (moreCrashes) {
            listener.onSuspected(part, partRecord.crashes(), partRecord.companions());
        }
        if (evidence.begunAgeMillis().isEmpty() && partRecord.begunAtMillis() != PartRecord.NEVER) {
            changed.add(part); // the sender does not know that answers began
        }
        trim();
    }

    /** Returns whether there is evidence that {@link #takeChanges} has not returned. */
    boolean hasChanges() {
        return !changed.isEmpty();
    }

    /** Returns what this host has found out since the last call. */
    List<PartEvidence> takeChanges(long nowMillis) {
        List<PartEvidence> evidence = evidenceOf(changed, nowMillis);
        changed.clear();
        return evidence;
    }

    /** Returns the verdicts of this host since the last call: parts that it found crashing, or sound after all. */
    List<PartEvidence> takeVerdicts(long nowMillis) {
        List<PartEvidence> evidence = evidenceOf(verdicts, nowMillis);
        verdicts.clear();
        return evidence;
    }

    /** Returns what is known of all parts of which crashes are remembered. */
    List<PartEvidence> all(long nowMillis) {
        return evidenceOf(records.keySet(), nowMillis);
    }

    private List<PartEvidence> evidenceOf(Set<PromptPartId> parts, long nowMillis) {
        List<PartEvidence> evidence = new ArrayList<>();
        for (PromptPartId part : parts) {
            PartRecord partRecord = records.get(part);
            if (partRecord != null) {
                evidence.add(partRecord.toEvidence(part, nowMillis));
            }
        }
        return evidence;
    }

    private PartRecord recordOf(PromptPartId part) {
        return records.computeIfAbsent(part, _ -> {
            PartRecord created = new PartRecord();
            Long begunAt = begunAtMillis.get(part);
            if (begunAt != null) {
                created.recordBegun(begunAt);
            }
            return created;
        });
    }

    private boolean wasSoundLately(PromptPartId part, long nowMillis) {
        Long local = begunAtMillis.get(part);
        PartRecord partRecord = records.get(part);
        long begunAt = Math.max(
                local == null ? PartRecord.NEVER : local,
                partRecord == null ? PartRecord.NEVER : partRecord.begunAtMillis());
        return nowMillis - begunAt < PartRecord.SOUND_MILLIS;
    }

    /** Returns whether a part that was sound lately crashed targets only together with one that was not. */
    private boolean isExplained(PartRecord partRecord) {
        return partRecord.wasSoundBeforeCrash()
                && partRecord.companions().stream().anyMatch(other -> {
                    PartRecord otherRecord = records.get(other);
                    return otherRecord != null && otherRecord.isSuspect() && !otherRecord.wasSoundBeforeCrash();
                });
    }

    /** Returns the companions of a part that may have caused its crashes instead. */
    private Set<PromptPartId> suspectCompanions(PromptPartId part) {
        Set<PromptPartId> suspects = new HashSet<>(records.get(part).companions());
        suspects.removeIf(other -> {
            PartRecord otherRecord = records.get(other);
            return otherRecord == null || !otherRecord.isSuspect() || isExplained(otherRecord);
        });
        return suspects;
    }

    private static long retrialDelayMillis(int crashes) {
        long delay = FIRST_RETRIAL_MILLIS;
        for (int i = CONDEMNING_CRASHES; i < Math.min(crashes, CONDEMNING_CRASHES + MAX_RETRIAL_GROWTHS); i++) {
            delay *= RETRIAL_FACTOR;
        }
        return delay;
    }

    /** Forgets the parts with the fewest crashes, the oldest first. */
    private void trim() {
        while (records.size() > MAX_RECORDS) {
            PromptPartId weakest = records.entrySet().stream()
                    .min(Comparator.comparingInt((Map.Entry<PromptPartId, PartRecord> entry) ->
                                    entry.getValue().isSuspect()
                                            ? entry.getValue().crashes()
                                            : 0)
                            .thenComparingLong(entry -> entry.getValue().crashedAtMillis()))
                    .orElseThrow()
                    .getKey();
            records.remove(weakest);
            changed.remove(weakest);
            verdicts.remove(weakest);
        }
    }
}
