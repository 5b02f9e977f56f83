package org.amaranthlock.coordination.reservation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import org.amaranthlock.coordination.membership.RendezvousOrder;
import org.amaranthlock.coordination.reservation.ReservationListener.Result;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;

/**
 * Reservations of one host: those that it asks the keepers of engines for, and those that it grants as a keeper.
 *
 * <p>Load pattern: dozens of hosts place streams at the same moment, from reports that are some hundred milliseconds old,
 * and several choose the same engine while others are idle. The keeper of a group of engines knows the placements that no
 * report contains yet. Hosts need not agree on the keeper; where they do not, load is only less even. Not thread-safe.
 */
public final class PlacementReservations {
    private final String localHost;
    private final FailureDomain localDomain;
    private final ReservationTransport transport;
    private final ReservationListener listener;
    private final LongSupplier clockMillis;
    private final OutstandingReservations outstanding = new OutstandingReservations();
    private final KeeperContacts contacts = new KeeperContacts();

    /** Possible keepers in the order of preference by group; cleared when the hosts change. */
    private final Map<EngineGroup, List<String>> orders = new HashMap<>();

    private Map<String, FailureDomain> peers = Map.of();

    /** Creates the reservations of a host that knows no other one yet. */
    public PlacementReservations(
            String localHost,
            FailureDomain localDomain,
            ReservationTransport transport,
            ReservationListener listener,
            LongSupplier clockMillis) {
        this.localHost = Objects.requireNonNull(localHost, "local host");
        this.localDomain = Objects.requireNonNull(localDomain, "local domain");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
    }

    /** Replaces the connected hosts that read reservation requests, with their failure domains. */
    public void updatePeers(Map<String, FailureDomain> newPeers) {
        peers = Map.copyOf(newPeers);
        orders.clear();
    }

    /**
     * Applies a report of another host.
     *
     * @param promptsBefore prompts of the host at an engine according to its report before
     * @param prompts prompts of the host at an engine according to this report
     * @param madeAtMillis time at which the host made the report
     */
    public void recordReport(
            String host, ToIntFunction<TargetId> promptsBefore, ToIntFunction<TargetId> prompts, long madeAtMillis) {
        outstanding.recordReport(host, promptsBefore, prompts, madeAtMillis);
    }

    /**
     * Returns the keeper to ask for a reservation; empty if a stream is placed better without one: the expected wait
     * behind unseen prompts is shorter than the round trip, or the keeper has not answered recently.
     *
     * @param unseenWaitMillis expected wait behind prompts that this host does not see, without a reservation
     */
    public Optional<String> keeperToAsk(EngineGroup group, double unseenWaitMillis, FleetLoads loads) {
        long nowMillis = clockMillis.getAsLong();
        String keeper = keeper(group, loads);
        boolean worthAsking = unseenWaitMillis > contacts.roundTripMillis(keeper, nowMillis);
        return worthAsking && !contacts.isPaused(keeper, nowMillis) ? Optional.of(keeper) : Optional.empty();
    }

    /**
     * Asks a keeper for a reservation.
     *
     * @param result receives the reserved engine, which is one of the candidates; empty if there is no answer in time.
     *     Called once, within this call if this host is the keeper
     */
    public void reserve(
            String keeper, ReservationRequest request, FleetLoads loads, Consumer<Optional<TargetId>> result) {
        if (keeper.equals(localHost)) {
            listener.onEnded(Result.GRANTED_LOCALLY, 0);
            result.accept(Optional.of(best(request, loads)));
            return;
        }
        long sentAtMillis = clockMillis.getAsLong();
        long waitMillis = contacts.waitMillis(keeper, request.promptMillis(), sentAtMillis);
        transport.ask(keeper, request, waitMillis, granted -> {
            Optional<TargetId> usable = granted.filter(target -> names(request, target));
            recordEnd(keeper, usable.isPresent(), sentAtMillis);
            result.accept(usable);
        });
    }

    /** Reserves the best candidate for another host, whose placement its next reports will contain. */
    public TargetId grant(String host, ReservationRequest request, FleetLoads loads) {
        TargetId reserved = best(request, loads);
        outstanding.add(host, reserved, clockMillis.getAsLong());
        listener.onGrantedToPeer(outstanding.size());
        return reserved;
    }

    /** Returns the host that keeps the reservations of a group, as seen by this host. */
    String keeper(EngineGroup group, FleetLoads loads) {
        return orders.computeIfAbsent(group, this::order).stream()
                .filter(host -> host.equals(localHost) || loads.isReporting(host))
                .findFirst()
                .orElse(localHost);
    }

    /** Hosts of the group's failure domain come first; the others replace them if none is left. */
    private List<String> order(EngineGroup group) {
        Map<String, FailureDomain> domains = new HashMap<>(peers);
        domains.put(localHost, localDomain);
        List<String> order = new ArrayList<>();
        for (boolean near : new boolean[] {true, false}) {
            List<String> hosts = domains.keySet().stream()
                    .filter(host -> domains.get(host).equals(group.domain()) == near)
                    .toList();
            order.addAll(RendezvousOrder.order(group.key(), hosts, Function.identity()));
        }
        return order;
    }

    private TargetId best(ReservationRequest request, FleetLoads loads) {
        long nowMillis = clockMillis.getAsLong();
        TargetId best = null;
        double lowestMillis = Double.MAX_VALUE;
        for (ReservationRequest.Candidate candidate : request.candidates()) {
            TargetId target = candidate.target();
            int ahead = loads.prompts(target) + outstanding.count(target, nowMillis);
            double millis = candidate.costMillis() + ahead * loads.slowness(target) * request.promptMillis();
            if (millis < lowestMillis) {
                lowestMillis = millis;
                best = target;
            }
        }
        return best;
    }

    private void recordEnd(String keeper, boolean granted, long sentAtMillis) {
        long nowMillis = clockMillis.getAsLong();
        long millis = nowMillis - sentAtMillis;
        if (granted) {
            contacts.recordAnswer(keeper, millis, nowMillis);
        } else {
            contacts.recordNoAnswer(keeper, nowMillis);
        }
        listener.onEnded(granted ? Result.GRANTED : Result.UNANSWERED, millis);
    }

    private static boolean names(ReservationRequest request, TargetId target) {
        return request.candidates().stream()
                .anyMatch(candidate -> candidate.target().equals(target));
    }
}
