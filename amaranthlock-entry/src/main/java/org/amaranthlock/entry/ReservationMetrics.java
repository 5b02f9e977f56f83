package org.amaranthlock.entry;

import java.util.Objects;
import org.amaranthlock.coordination.reservation.ReservationListener;
import org.amaranthlock.entry.metrics.EntryMetrics;

/** Counts the reservations that this host asks for and grants. */
final class ReservationMetrics implements ReservationListener {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EntryMetrics metrics;

    ReservationMetrics(EntryMetrics metrics) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void onEnded(Result result, long millis) {
        metrics.recordReservation(result.label(), millis / MILLIS_PER_SECOND);
    }

    @Override
    public void onGrantedToPeer(int outstanding) {
        metrics.recordReservationGranted(outstanding);
    }
}
