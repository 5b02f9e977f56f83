package org.amaranthlock.coordination.placement;

import java.util.Collection;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.amaranthlock.coordination.estimate.TargetSpeed;
import org.amaranthlock.coordination.estimate.TargetSpeeds;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/**
 * Estimates of the fleet for {@link PlacementPolicy}, from a host's own requests and the reports of other hosts.
 *
 * <p>They are not persisted; a host that starts uses the speeds that the others report. Not thread-safe.
 */
public final class FleetEstimates {
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    private final String localHost;
    private final TargetSpeeds speeds = new TargetSpeeds();
    private final UnseenPlacements unseenPlacements = new UnseenPlacements();
    private final Map<ServiceName, RequestRate> ownRates = new HashMap<>();
    private final Map<ServiceName, Double> streamMillis = new HashMap<>();
    private final Map<TargetId, Long> fullAtMillis = new HashMap<>();

    /** Creates the estimates of a host without any data. */
    public FleetEstimates(String localHost) {
        this.localHost = Objects.requireNonNull(localHost, "local host");
    }

    /** Records a report of another host that replaces {@code before}. */
    public void recordReport(
            Map<TargetId, InFlightLoad> before, HostLoadReport report, long ageMillis, long nowMillis) {
        unseenPlacements.record(before, report.inFlight(), ageMillis, nowMillis);
        speeds.updateRemote(report.host(), report.speeds());
    }

    /** Removes the reports of a host that has become silent. */
    public void removeHost(String host) {
        speeds.removeRemote(host);
    }

    /** Removes all targets but those that {@code known} matches. */
    public void retain(Predicate<TargetId> known) {
        speeds.retain(known);
        fullAtMillis.keySet().removeIf(known.negate());
    }

    /** Records that this host has placed a request. */
    public void recordPlacement(ServiceName service, long nowMillis) {
        ownRates.computeIfAbsent(service, _ -> new RequestRate()).record(nowMillis);
    }

    /**
     * Records that a target has answered a request, or sent the first event of a stream.
     *
     * @param tokens size of the request on an engine
     * @param ahead prompts that were ahead of it
     * @param millis time since the target got the request
     */
    public void recordAnswer(
            ServiceDefinition service, EntryTarget target, long tokens, int ahead, long millis, long nowMillis) {
        double inTurn = service.engine() ? 1 + ahead : 1; // a target without an engine serves its requests in parallel
        speeds.record(service.name(), target.id(), millis, units(service, tokens) * inTurn, nowMillis);
        fullAtMillis.remove(target.id());
    }

    /** Records that a stream has ended {@code millis} after it was sent; empty if that says nothing of its target. */
    public void recordStream(ServiceName service, OptionalLong millis) {
        millis.ifPresent(time -> streamMillis.merge(
                service, (double) Math.max(1, time), (before, last) -> before + (last - before) / 8));
    }

    /** Records that a target rejected a request because its queue is full. */
    public void recordFull(EntryTarget target, long nowMillis) {
        fullAtMillis.put(target.id(), nowMillis);
    }

    /**
     * Returns whether a target has rejected a request within the duration of a typical stream and answered none since.
     */
    public boolean isFull(EntryTarget target, long nowMillis) {
        Long atMillis = fullAtMillis.get(target.id());
        return atMillis != null && nowMillis - atMillis < orUnknown(streamMillis.get(target.service()));
    }

    /** Returns the time that a target takes for a request, as a multiple of the time of its peers. */
    public double slowness(EntryTarget target, long nowMillis) {
        return slowness(target.id(), nowMillis);
    }

    /** Returns the time that the target with an id takes for a request, as a multiple of the time of its peers. */
    public double slowness(TargetId target, long nowMillis) {
        return speeds.slowness(target, nowMillis);
    }

    /** Returns a summary of the slowness of all targets from which this host has enough answers. */
    public DoubleSummaryStatistics slownessRange(long nowMillis) {
        return speeds.known(nowMillis).stream().mapToDouble(TargetSpeed::ratio).summaryStatistics();
    }

    /** Returns the speeds that this host reports to the others. */
    public Map<TargetId, TargetSpeed> reportedSpeeds(long nowMillis) {
        return speeds.report(nowMillis);
    }

    /**
     * Returns the current view of the fleet for a placement.
     *
     * @param tokens size of the request on an engine
     * @param hosts names of the other hosts
     * @param reportedPerMilli requests per millisecond that other hosts send to a service without engines, if they
     *     report them
     * @param allowForUnseen whether the view includes requests that other hosts have not yet reported
     */
    public FleetView view(
            ServiceDefinition service,
            long tokens,
            Collection<String> hosts,
            OptionalDouble reportedPerMilli,
            boolean allowForUnseen,
            long nowMillis) {
        double typicalMillis = speeds.typicalMillis(service.name());
        double requestMillis =
                Double.isNaN(typicalMillis) ? FleetView.UNKNOWN_MILLIS : typicalMillis * units(service, tokens);
        double unseen = service.engine()
                ? unseenPlacements.expected(nowMillis)
                : reportedPerMilli.orElseGet(() -> hosts.size() * ownRate(service.name(), nowMillis)) * requestMillis;
        return new FleetView(
                hosts.size() + 1,
                position(hosts),
                allowForUnseen ? unseen : 0,
                requestMillis,
                orUnknown(streamMillis.get(service.name())));
    }

    /** Returns the expected number of streams that other hosts have placed and not yet reported. */
    public double expectedUnseen(long nowMillis) {
        return unseenPlacements.expected(nowMillis);
    }

    /** Returns the size of a request; requests to targets without an engine are assumed to be of equal size. */
    private static double units(ServiceDefinition service, long tokens) {
        return service.engine() ? Math.max(1, tokens) : 1;
    }

    /** Returns the rates of this host's requests by service, per millisecond. */
    public Map<ServiceName, Double> ownRates(long nowMillis) {
        Map<ServiceName, Double> rates = new HashMap<>();
        ownRates.forEach((service, rate) -> rates.put(service, rate.perMilli(nowMillis)));
        return rates;
    }

    /**
     * Returns the rate of this host's requests, also used for the other hosts: reports lack requests to targets without
     * an engine, and hosts that serve the same routes receive about the same number.
     */
    private double ownRate(ServiceName service, long nowMillis) {
        RequestRate rate = ownRates.get(service);
        return rate == null ? 0 : rate.perMilli(nowMillis);
    }

    private double position(Collection<String> hosts) {
        int own = order(localHost);
        long before = hosts.stream().filter(host -> order(host) < own).count();
        return before / (hosts.size() + 1.0);
    }

    /** Returns a hash to sort by that does not depend on the failure domain, with which names often begin. */
    private static int order(String host) {
        return host.hashCode() * HASH_MULTIPLIER;
    }

    private static double orUnknown(Double millis) {
        return millis == null ? FleetView.UNKNOWN_MILLIS : millis;
    }
}
