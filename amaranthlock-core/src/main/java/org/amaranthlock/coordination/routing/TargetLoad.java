package org.amaranthlock.coordination.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthlock.model.AttemptId;

/**
 * What a router knows of the load of one target: its own attempts exactly, the others' from late reports.
 *
 * <p>Not thread-safe.
 */
final class TargetLoad {
    /** A report without successor loses its meaning after this time. */
    private static final long REPORT_LIFETIME_MILLIS = 10_000;

    /** Own load is remembered this long, so that a late report can be compared with the own load at its time. */
    private static final long HISTORY_MILLIS = 10_000;

    private final Map<AttemptId, Long> running = new LinkedHashMap<>();
    private final Deque<LocalLoad> history = new ArrayDeque<>();
    private int remoteAttemptsAtReport;
    private int localAttemptsAtReport;
    private long reportedAtMillis = Long.MIN_VALUE / 2;

    void addAttempt(AttemptId attempt, long nowMillis) {
        running.put(attempt, nowMillis);
        remember(nowMillis);
    }

    boolean removeAttempt(AttemptId attempt, long nowMillis) {
        boolean known = running.remove(attempt) != null;
        remember(nowMillis);
        return known;
    }

    void updateReport(int runningAndQueued, long ageMillis, long nowMillis) {
        long asOfMillis = nowMillis - ageMillis;
        localAttemptsAtReport = Math.min(runningAndQueued, ownAt(asOfMillis));
        remoteAttemptsAtReport = runningAndQueued - localAttemptsAtReport;
        reportedAtMillis = asOfMillis;
    }

    int localAttempts() {
        return running.size();
    }

    /** Returns own attempts plus those of other routers as far as a report tells. */
    int estimatedAttempts(long nowMillis) {
        return localAttempts() + remoteAttemptsAtReport(nowMillis);
    }

    /** Returns the attempts of other routers at the time of the last report; 0 without a recent report. */
    int remoteAttemptsAtReport(long nowMillis) {
        return fresh(nowMillis) ? remoteAttemptsAtReport : 0;
    }

    /** Returns the own attempts at the time of the last report; the present ones without a recent report. */
    int localAttemptsAtReport(long nowMillis) {
        return fresh(nowMillis) ? localAttemptsAtReport : localAttempts();
    }

    private boolean fresh(long nowMillis) {
        return nowMillis - reportedAtMillis <= REPORT_LIFETIME_MILLIS;
    }

    private int ownAt(long asOfMillis) {
        int own = 0;
        for (LocalLoad load : history) {
            if (load.atMillis() > asOfMillis) {
                break;
            }
            own = load.attempts();
        }
        return own;
    }

    private void remember(long nowMillis) {
        if (!history.isEmpty() && history.peekLast().atMillis() == nowMillis) {
            history.removeLast();
        }
        history.addLast(new LocalLoad(nowMillis, running.size()));
        while (history.size() > 1 && history.peekFirst().atMillis() < nowMillis - HISTORY_MILLIS) {
            history.removeFirst();
        }
    }

    private record LocalLoad(long atMillis, int attempts) {}
}
