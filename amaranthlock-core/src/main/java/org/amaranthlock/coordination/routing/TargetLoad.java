package org.amaranthlock.coordination.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthlock.model.AttemptId;

/**
 * Load of one target as known to a router: the exact number of local attempts, and those of other routers from delayed
 * reports.
 *
 * <p>Not thread-safe.
 */
final class TargetLoad {
    /** Time after which a report expires unless a newer one arrives. */
    private static final long REPORT_LIFETIME_MILLIS = 10_000;

    /** Retention of the local load history, from which the local part of a delayed report is determined. */
    private static final long HISTORY_MILLIS = 10_000;

    private final Map<AttemptId, Long> running = new LinkedHashMap<>();
    private final Deque<LocalLoad> history = new ArrayDeque<>();
    private int remoteAttemptsAtReport;
    private int localAttemptsAtReport;
    private long reportedAtMillis = Long.MIN_VALUE / 2;

    void addAttempt(AttemptId attempt, long nowMillis) {
        running.put(attempt, nowMillis);
        recordHistory(nowMillis);
    }

    boolean removeAttempt(AttemptId attempt, long nowMillis) {
        boolean known = running.remove(attempt) != null;
        recordHistory(nowMillis);
        return known;
    }

    /** Records a load report, and splits it into local attempts and those of other routers. */
    void updateReport(int runningAndQueued, long ageMillis, long nowMillis) {
        long asOfMillis = nowMillis - ageMillis;
        localAttemptsAtReport = Math.min(runningAndQueued, localAttemptsAt(asOfMillis));
        remoteAttemptsAtReport = runningAndQueued - localAttemptsAtReport;
        reportedAtMillis = asOfMillis;
    }

    int localAttempts() {
        return running.size();
    }

    /** Returns the number of local attempts plus those of other routers by the last report. */
    int estimatedAttempts(long nowMillis) {
        return localAttempts() + remoteAttemptsAtReport(nowMillis);
    }

    /** Returns the number of other routers' attempts at the time of the last report; 0 without a recent report. */
    int remoteAttemptsAtReport(long nowMillis) {
        return isReportFresh(nowMillis) ? remoteAttemptsAtReport : 0;
    }

    /** Returns the number of local attempts at the time of the last report; the current one without a recent report. */
    int localAttemptsAtReport(long nowMillis) {
        return isReportFresh(nowMillis) ? localAttemptsAtReport : localAttempts();
    }

    private boolean isReportFresh(long nowMillis) {
        return nowMillis - reportedAtMillis <= REPORT_LIFETIME_MILLIS;
    }

    private int localAttemptsAt(long asOfMillis) {
        int attempts = 0;
        for (LocalLoad load : history) {
            if (load.atMillis() > asOfMillis) {
                break;
            }
            attempts = load.attempts();
        }
        return attempts;
    }

    private void recordHistory(long nowMillis) {
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
