package org.amaranthlock.coordination.reservation;

import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthlock.model.TargetId;

/** Sends reservation requests to the keepers of engines. */
public interface ReservationTransport {
    /**
     * Asks a host for a reservation.
     *
     * @param waitMillis time after which the request ends without an answer
     * @param result receives the reserved engine; empty if the host cannot be reached or does not answer in time. Called
     *     once, not within this call, and on the thread of the caller
     */
    void ask(String keeper, ReservationRequest request, long waitMillis, Consumer<Optional<TargetId>> result);
}
