package org.amaranthlock.entry;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.EngineReservations;
import org.amaranthlock.coordination.forwarding.Mechanism;
import org.amaranthlock.coordination.forwarding.TargetLoadBalancer;
import org.amaranthlock.coordination.placement.EvenLoadPlacement;
import org.amaranthlock.coordination.placement.FleetSizePlacement;
import org.amaranthlock.coordination.placement.LeastDelayPlacement;
import org.amaranthlock.coordination.placement.PlacementPolicy;
import org.amaranthlock.coordination.reservation.PlacementReservations;
import org.amaranthlock.entry.control.ReservationQueryClient;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.settings.EntrySettings;
import org.apache.commons.rng.UniformRandomProvider;

/** Creates what places requests, as far as the settings call for it. */
final class PlacementSetup {
    private PlacementSetup() {}

    /** Creates the policy that chooses among targets. */
    static PlacementPolicy createPolicy(EntrySettings settings, UniformRandomProvider random, EntryMetrics metrics) {
        PlacementPolicy leastDelay = new LeastDelayPlacement(random);
        return settings.mechanisms().uses(Mechanism.EVEN_LOAD)
                ? new FleetSizePlacement(
                        leastDelay, new EvenLoadPlacement(reason -> metrics.recordPlacement(reason.label())))
                : leastDelay;
    }

    /** Creates the reservations of engines; empty if they are switched off. */
    static Optional<EngineReservations> createReservations(
            EntrySettings settings,
            TargetLoadBalancer loadBalancer,
            ReservationQueryClient queryClient,
            EntryMetrics metrics,
            LongSupplier clockMillis) {
        if (!settings.mechanisms().uses(Mechanism.PLACEMENT_RESERVATIONS)) {
            return Optional.empty();
        }
        PlacementReservations reservations = new PlacementReservations(
                settings.hostName(),
                settings.failureDomain(),
                queryClient,
                new ReservationMetrics(metrics),
                clockMillis);
        return Optional.of(new EngineReservations(loadBalancer, reservations, clockMillis));
    }
}
