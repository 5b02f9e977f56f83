package org.amaranthlock.coordination.forwarding;

import java.util.Optional;

/**
 * One send of a request to a target.
 *
 * @param number number among the sends of the request, from 1
 * @param target where it goes
 * @param timeLeftMillis how long the target may work on it, milliseconds
 * @param lastEventId event behind which an event stream goes on
 * @param backupTarget engine that keeps a copy of the run's memory meanwhile
 * @param resumeFrom copy of an earlier attempt that the target keeps and goes on from
 * @param priority rank for the engine's queue, 0 to 9, where 0 goes first; empty leaves the engine's default
 */
public record Attempt(
        int number,
        EntryTarget target,
        long timeLeftMillis,
        Optional<Long> lastEventId,
        Optional<EntryTarget> backupTarget,
        Optional<KvCacheCopy> resumeFrom,
        Optional<Integer> priority) {}
