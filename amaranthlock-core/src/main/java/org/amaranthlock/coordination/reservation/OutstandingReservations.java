package org.amaranthlock.coordination.reservation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.TargetId;

/**
 * Reservations that a keeper has granted and that no load report contains yet.
 *
 * <p>A report is made before or after the placement that follows a grant; its time alone does not tell. A reservation is
 * therefore removed by a report that has one more prompt of its host at the engine, or that was made so long after the
 * grant that it contains the placement if there is one. Not thread-safe.
 */
public final class OutstandingReservations {
    /**
     * Time after a grant from which a report contains the placement, in milliseconds: the longest wait for an answer, and
     * the time for which a report may be on its way without being measured.
     */
    static final long SETTLED_MILLIS = KeeperContacts.MAX_WAIT_MILLIS + 150;

    /** Time after which a reservation expires without a report; a host that is silent for so long is taken for lost. */
    static final long EXPIRY_MILLIS = 2_500;

    /** In the order of the grants. */
    private final Deque<Reservation> unreported = new ArrayDeque<>();

    private final Map<TargetId, Integer> countByTarget = new HashMap<>();

    private record Reservation(String host, TargetId target, long grantedAtMillis) {}

    /** Records a grant. */
    public void add(String host, TargetId target, long nowMillis) {
        Arguments.requireText(host, "host");
        Objects.requireNonNull(target, "target");
        unreported.addLast(new Reservation(host, target, nowMillis));
        countByTarget.merge(target, 1, Integer::sum);
    }

    /** Returns the number of reservations at an engine. */
    public int count(TargetId target, long nowMillis) {
        while (!unreported.isEmpty() && nowMillis - unreported.peekFirst().grantedAtMillis() >= EXPIRY_MILLIS) {
            removeCount(unreported.removeFirst());
        }
        return countByTarget.getOrDefault(target, 0);
    }

    /** Returns the number of all reservations. */
    public int size() {
        return unreported.size();
    }

    /**
     * Applies a report of a host.
     *
     * @param promptsBefore prompts of the host at an engine according to its report before
     * @param prompts prompts of the host at an engine according to this report
     * @param madeAtMillis time at which the host made the report
     */
    public void recordReport(
            String host, ToIntFunction<TargetId> promptsBefore, ToIntFunction<TargetId> prompts, long madeAtMillis) {
        Map<TargetId, Integer> newPrompts = new HashMap<>();
        for (Iterator<Reservation> all = unreported.iterator(); all.hasNext(); ) {
            Reservation reservation = all.next();
            if (reservation.grantedAtMillis() > madeAtMillis) {
                return;
            }
            if (!reservation.host().equals(host)) {
                continue;
            }
            TargetId target = reservation.target();
            int unmatched =
                    newPrompts.computeIfAbsent(target, id -> prompts.applyAsInt(id) - promptsBefore.applyAsInt(id));
            if (unmatched > 0 || madeAtMillis - reservation.grantedAtMillis() >= SETTLED_MILLIS) {
                newPrompts.put(target, unmatched - 1);
                all.remove();
                removeCount(reservation);
            }
        }
    }

    private void removeCount(Reservation reservation) {
        countByTarget.computeIfPresent(reservation.target(), (_, count) -> count > 1 ? count - 1 : null);
    }
}
