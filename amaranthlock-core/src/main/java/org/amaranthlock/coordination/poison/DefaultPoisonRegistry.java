package org.amaranthlock.coordination.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.peer.PoisonMark;

/** Keeps the blame of each request under its ledger key and its content, for ten minutes. */
public final class DefaultPoisonRegistry implements PoisonRegistry {
    /** Time in which blame and condemnation hold. */
    static final long MARK_MILLIS = 600_000;

    /** Blame of one target death that a request bears alone. */
    static final int FULL_DEATH = 1000;

    /** Two full deaths condemn a request. */
    static final int CONDEMNED_BLAME = 2 * FULL_DEATH;

    /** Bound of the table; the oldest mark is forgotten first. */
    private static final int MAX_MARKS = 10_000;

    /** A mark sent this often has reached every router with high probability at 330 routers. */
    private static final int MAX_SENDS = 24;

    private final Map<String, Mark> marks = new LinkedHashMap<>();
    private final Map<String, Long> cleared = new LinkedHashMap<>();

    @Override
    public Standing standing(RequestSpec spec, long nowMillis) {
        Standing standing = Standing.CLEAN;
        for (Mark mark : marks.values()) {
            if (mark.concerns(spec.ledgerKey(), spec.fingerprint()) && nowMillis - mark.atMillis < MARK_MILLIS) {
                if (mark.condemned) {
                    return Standing.CONDEMNED;
                }
                standing = Standing.SUSPECT;
            }
        }
        return standing;
    }

    @Override
    public void targetDied(TargetId target, List<Running> running, long nowMillis) {
        expire(nowMillis);
        int share = running.isEmpty() ? 0 : FULL_DEATH / running.size();
        for (Running victim : running) {
            RequestSpec spec = victim.spec();
            boolean alone = running.size() == 1;
            boolean suspect = standing(spec, nowMillis) != Standing.CLEAN;
            Mark mark = marks.computeIfAbsent(
                    spec.ledgerKey(), key -> new Mark(spec.fingerprint(), key, inherited(spec, nowMillis)));
            mark.blame += share;
            mark.condemned |= (suspect && alone) || mark.blame >= CONDEMNED_BLAME;
            mark.atMillis = nowMillis;
            mark.sends = 0;
        }
        bound(marks);
    }

    private int inherited(RequestSpec spec, long nowMillis) {
        return marks.values().stream()
                .filter(mark -> mark.concerns(spec.ledgerKey(), spec.fingerprint()))
                .filter(mark -> nowMillis - mark.atMillis < MARK_MILLIS)
                .mapToInt(mark -> mark.blame)
                .max()
                .orElse(0);
    }

    @Override
    public void completed(RequestSpec spec, long nowMillis) {
        boolean removed = marks.values().removeIf(mark -> mark.concerns(spec.ledgerKey(), spec.fingerprint()));
        if (removed) {
            cleared.put(spec.ledgerKey(), nowMillis);
            cleared.put(contentKey(spec.fingerprint()), nowMillis);
            bound(cleared);
        }
    }

    @Override
    public List<PoisonMark> marksToSpread(int limit, long nowMillis) {
        expire(nowMillis);
        List<Mark> due = new ArrayList<>(marks.values());
        due.removeIf(mark -> mark.sends >= MAX_SENDS);
        due.sort(Comparator.comparing((Mark mark) -> !mark.condemned).thenComparingInt(mark -> mark.sends));
        List<PoisonMark> result = new ArrayList<>();
        for (Mark mark : due.subList(0, Math.min(limit, due.size()))) {
            mark.sends++;
            result.add(new PoisonMark(mark.fingerprint, mark.ledgerKey, mark.blame, mark.condemned, mark.atMillis));
        }
        return result;
    }

    @Override
    public void learn(List<PoisonMark> learned, long nowMillis) {
        expire(nowMillis);
        for (PoisonMark news : learned) {
            if (nowMillis - news.atMillis() >= MARK_MILLIS || clearedSince(news)) {
                continue;
            }
            Mark mark = marks.computeIfAbsent(news.ledgerKey(), key -> new Mark(news.fingerprint(), key, 0));
            boolean changed = news.blameMillis() > mark.blame || (news.condemned() && !mark.condemned);
            mark.blame = Math.max(mark.blame, news.blameMillis());
            mark.condemned |= news.condemned();
            mark.atMillis = Math.max(mark.atMillis, news.atMillis());
            if (changed) {
                mark.sends = 0;
            }
        }
        bound(marks);
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
        marks.values().removeIf(mark -> nowMillis - mark.atMillis >= MARK_MILLIS);
        cleared.values().removeIf(at -> nowMillis - at >= MARK_MILLIS);
    }

    private static void bound(Map<String, ?> table) {
        var keys = table.keySet().iterator();
        while (table.size() > MAX_MARKS) {
            keys.next();
            keys.remove();
        }
    }

    private static final class Mark {
        private final long fingerprint;
        private final String ledgerKey;
        private int blame;
        private boolean condemned;
        private long atMillis;
        private int sends;

        Mark(long fingerprint, String ledgerKey, int blame) {
            this.fingerprint = fingerprint;
            this.ledgerKey = ledgerKey;
            this.blame = blame;
        }

        boolean concerns(String key, long content) {
            return ledgerKey.equals(key) || fingerprint == content;
        }
    }
}
