package org.amaranthlock.coordination.forwarding;

import java.util.Optional;

/**
 * One attempt to execute a request on a target.
 *
 * @param number number of the attempt within the request, starting at 1
 * @param target target to which the request is sent
 * @param timeLeftMillis time that the target may spend on it, in milliseconds
 * @param lastEventId id of the event after which an event stream resumes
 * @param backupTarget engine that keeps a backup of the KV cache during the attempt
 * @param resumeFrom KV cache copy of an earlier attempt that the target holds and resumes from
 * @param priority priority in the engine's queue, 0 (highest) to 9; empty for the engine's default
 */
public record Attempt(
        int number,
        EntryTarget target,
        long timeLeftMillis,
        Optional<Long> lastEventId,
        Optional<EntryTarget> backupTarget,
        Optional<KvCacheCopy> resumeFrom,
        Optional<Integer> priority) {}
