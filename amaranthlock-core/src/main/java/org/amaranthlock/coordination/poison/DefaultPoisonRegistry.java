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

/** Keeps the blame of each request under its ledger key and its content, for ten minutes. */
public final class DefaultPoisonRegistry implements PoisonRegistry {
    /** Time in which blame and condemnation hold. */
    static final long MARK_RETENTION_MILLIS = 600_000;

    /** Blame of one target death that a request bears alone. */
    static final int FULL_CRASH_SCORE = 1000;

    /** Two full deaths condemn a request. */
    static final int POISON_SCORE = 2 * FULL_CRASH_SCORE;

    /** Bound of the table; the oldest mark is forgotten first. */
    private static final int MAX_MARKS = 10_000;

    /** A mark sent this often has reached every router with high probability at 330 routers. */
    private static final int MAX_SENDS = 24;

    private final PoisonMarks marks = new PoisonMarks(MAX_MARKS);
    private final Map<String, Long> cleared = new LinkedHashMap<>();

    @Override
    public PoisonState state(RequestSpec spec, long nowMillis) {
        PoisonState standing = PoisonState.CLEAN;
        for (Mark mark : marks.find(spec.ledgerKey(), spec.fingerprint())) {
            if (nowMillis - mark.atMillis < MARK_RETENTION_MILLIS) {
                if (mark.poison) {
                    return PoisonState.POISON;
                }
                standing = PoisonState.SUSPECT;
            }
        }
        return standing;
    }

    @Override
    public void recordTargetCrash(TargetId target, List<RunningRequest> running, long nowMillis) {
        expire(nowMillis);
        int share = running.isEmpty() ? 0 : FULL_CRASH_SCORE / running.size();
        for (RunningRequest victim : running) {
            RequestSpec spec = victim.spec();
            boolean alone = running.size() == 1;
            boolean suspect = state(spec, nowMillis) != PoisonState.CLEAN;
            int inherited = inherited(spec, nowMillis);
            Mark mark = marks.getOrCreate(spec.ledgerKey(), spec.fingerprint(), inherited);
            mark.crashScore += share;
            mark.poison |= (suspect && alone) || mark.crashScore >= POISON_SCORE;
            mark.atMillis = nowMillis;
            mark.sends = 0;
        }
        marks.trim();
    }

    private int inherited(RequestSpec spec, long nowMillis) {
        return marks.find(spec.ledgerKey(), spec.fingerprint()).stream()
                .filter(mark -> nowMillis - mark.atMillis < MARK_RETENTION_MILLIS)
                .mapToInt(mark -> mark.crashScore)
                .max()
                .orElse(0);
    }

    @Override
    public void recordCompletion(RequestSpec spec, long nowMillis) {
        Collection<Mark> concerned = marks.find(spec.ledgerKey(), spec.fingerprint());
        if (!concerned.isEmpty()) {
            marks.remove(concerned);
            cleared.put(spec.ledgerKey(), nowMillis);
            cleared.put(contentKey(spec.fingerprint()), nowMillis);
            bound(cleared);
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
            result.add(new PoisonMark(mark.fingerprint, mark.ledgerKey, mark.crashScore, mark.poison, mark.atMillis));
        }
        return result;
    }

    @Override
    public void merge(List<PoisonMark> learned, long nowMillis) {
        expire(nowMillis);
        for (PoisonMark news : learned) {
            if (nowMillis - news.atMillis() >= MARK_RETENTION_MILLIS || clearedSince(news)) {
                continue;
            }
            Mark mark = marks.getOrCreate(news.ledgerKey(), news.fingerprint(), 0);
            boolean changed = news.crashScore() > mark.crashScore || (news.poison() && !mark.poison);
            mark.crashScore = Math.max(mark.crashScore, news.crashScore());
            mark.poison |= news.poison();
            mark.atMillis = Math.max(mark.atMillis, news.atMillis());
            if (changed) {
                mark.sends = 0;
            }
        }
        marks.trim();
    }

    private boolean clearedSince(PoisonMark news) {
        long byKey = cleared.getOrDefault(news.ledgerKey(), Long.MIN_VALUE);
        long byContent = cleared.getOrDefault(contentKey(news.fingerprint()), Long.MIN_VALUE);
        return news.atMillis() <= Math.max(byKey, byContent);
    }

    private static String contentKey(long fingerprint) {
        // A ledger key contains a slash, so the two kinds of keys never meet.
        return "content:" + fingerprint;
    }

    private void expire(long nowMillis) {
        marks.expire(nowMillis - MARK_RETENTION_MILLIS);
        cleared.values().removeIf(at -> nowMillis - at >= MARK_RETENTION_MILLIS);
    }

    private static void bound(Map<String, ?> table) {
        var keys = table.keySet().iterator();
        while (table.size() > MAX_MARKS) {
            keys.next();
            keys.remove();
        }
    }
}
