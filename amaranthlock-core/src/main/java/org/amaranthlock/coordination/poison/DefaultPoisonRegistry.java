package org.amaranthlock.coordination.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.coordination.poison.PoisonMarks.Mark;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.peer.PoisonMark;

/**
 * {@link PoisonRegistry} that keeps the crash score of each request by ledger key and content fingerprint for ten
 * minutes.
 *
 * <p>The score of a crash is divided equally among the requests that ran on the target. A request is poison once its
 * score is that of two full crashes, or if a target crashes while the request, already a suspect, runs exclusively. Not
 * thread-safe.
 */
public final class DefaultPoisonRegistry implements PoisonRegistry {
    /** Retention of a mark after the last crash, and of the time at which a mark was cleared. */
    static final long MARK_RETENTION_MILLIS = 600_000;

    /** Crash score of a request that was the only one on a target when it crashed. */
    static final int FULL_CRASH_SCORE = 1000;

    /** Crash score from which a request is poison: two full crash scores. */
    static final int POISON_SCORE = 2 * FULL_CRASH_SCORE;

    /** Maximum number of marks; the one that was created first is evicted first. */
    private static final int MAX_MARKS = 10_000;

    /** Number of sends after which a mark has reached all of 330 routers with high probability. */
    private static final int MAX_SENDS = 24;

    private final PoisonMarks marks = new PoisonMarks(MAX_MARKS);
    private final Map<String, Long> clearedAtMillis = new LinkedHashMap<>();

    @Override
    public PoisonState state(RequestSpec spec, long nowMillis) {
        PoisonState state = PoisonState.CLEAN;
        for (Mark mark : marks.find(spec.ledgerKey(), spec.fingerprint())) {
            if (nowMillis - mark.lastCrashMillis < MARK_RETENTION_MILLIS) {
                if (mark.poison) {
                    return PoisonState.POISON;
                }
                state = PoisonState.SUSPECT;
            }
        }
        return state;
    }

    @Override
    public void recordTargetCrash(TargetId target, List<RunningRequest> running, long nowMillis) {
        expire(nowMillis);
        int scorePerRequest = running.isEmpty() ? 0 : FULL_CRASH_SCORE / running.size();
        for (RunningRequest request : running) {
            RequestSpec spec = request.spec();
            boolean exclusive = running.size() == 1;
            boolean suspect = state(spec, nowMillis) != PoisonState.CLEAN;
            int inheritedScore = inheritedCrashScore(spec, nowMillis);
            Mark mark = marks.getOrCreate(spec.ledgerKey(), spec.fingerprint(), inheritedScore);
            mark.crashScore += scorePerRequest;
            mark.poison |= (suspect && exclusive) || mark.crashScore >= POISON_SCORE;
            mark.lastCrashMillis = nowMillis;
            mark.sends = 0;
        }
        marks.trim();
    }

    private int inheritedCrashScore(RequestSpec spec, long nowMillis) {
        return marks.find(spec.ledgerKey(), spec.fingerprint()).stream()
                .filter(mark -> nowMillis - mark.lastCrashMillis < MARK_RETENTION_MILLIS)
                .mapToInt(mark -> mark.crashScore)
                .max()
                .orElse(0);
    }

    @Override
    public void recordCompletion(RequestSpec spec, long nowMillis) {
        Collection<Mark> matching = marks.find(spec.ledgerKey(), spec.fingerprint());
        if (!matching.isEmpty()) {
            marks.remove(matching);
            clearedAtMillis.put(spec.ledgerKey(), nowMillis);
            clearedAtMillis.put(contentKey(spec.fingerprint()), nowMillis);
            trimToMaxMarks(clearedAtMillis);
        }
    }

    @Override
    public List<PoisonMark> nextMarksToGossip(int limit, long nowMillis) {
        expire(nowMillis);
        List<Mark> due = new ArrayList<>(marks.all());
        due.removeIf(mark -> mark.sends >= MAX_SENDS);
        due.sort(Comparator.comparing((Mark mark) -> !mark.poison).thenComparingInt(mark -> mark.sends));
        List<PoisonMark> result = new ArrayList<>();
        for (Mark mark : due.subList(0, Math.min(limit, due.size()))) {
            mark.sends++;
            result.add(new PoisonMark(
                    mark.fingerprint, mark.ledgerKey, mark.crashScore, mark.poison, mark.lastCrashMillis));
        }
        return result;
    }

    @Override
    public void merge(List<PoisonMark> remoteMarks, long nowMillis) {
        expire(nowMillis);
        for (PoisonMark remote : remoteMarks) {
            if (nowMillis - remote.atMillis() >= MARK_RETENTION_MILLIS || clearedSince(remote)) {
                continue;
            }
            Mark mark = marks.getOrCreate(remote.ledgerKey(), remote.fingerprint(), 0);
            boolean changed = remote.crashScore() > mark.crashScore || (remote.poison() && !mark.poison);
            mark.crashScore = Math.max(mark.crashScore, remote.crashScore());
            mark.poison |= remote.poison();
            mark.lastCrashMillis = Math.max(mark.lastCrashMillis, remote.atMillis());
            if (changed) {
                mark.sends = 0;
            }
        }
        marks.trim();
    }

    private boolean clearedSince(PoisonMark remote) {
        long byKey = clearedAtMillis.getOrDefault(remote.ledgerKey(), Long.MIN_VALUE);
        long byContent = clearedAtMillis.getOrDefault(contentKey(remote.fingerprint()), Long.MIN_VALUE);
        return remote.atMillis() <= Math.max(byKey, byContent);
    }

    private static String contentKey(long fingerprint) {
        // A ledger key contains a slash, so it cannot equal a content key.
        return "content:" + fingerprint;
    }

    private void expire(long nowMillis) {
        marks.expire(nowMillis - MARK_RETENTION_MILLIS);
        clearedAtMillis.values().removeIf(at -> nowMillis - at >= MARK_RETENTION_MILLIS);
    }

    private static void trimToMaxMarks(Map<String, ?> table) {
        var keys = table.keySet().iterator();
        while (table.size() > MAX_MARKS) {
            keys.next();
            keys.remove();
        }
    }
}
