package org.amaranthlock.coordination.region;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;

/**
 * What a host knows of the links between its region and the others, and what they may carry.
 *
 * <p>Load pattern: links between regions have little bandwidth, and demand moves from one region to another. Requests
 * cross a link if they are answered sooner in the other region; KV cache copies must not delay them. All hosts keep to
 * one bandwidth for each link, since each reports its own traffic.
 *
 * <p>Without several regions nothing is measured or restricted. Times are parameters. Not thread-safe, except for
 * {@link #counters()}.
 */
public final class RegionLinks {
    /** Bytes per millisecond in a megabit per second. */
    private static final double BYTES_PER_MILLI_AND_MBPS = 125;

    /** Time constant of this host's rates, in milliseconds. */
    private static final double RATE_MILLIS = 1_000;

    /** Minimum time between two samples of the counters, in milliseconds. */
    private static final long SAMPLE_MILLIS = 250;

    /** Minimum time between two changes of the report; a load report that does not differ is not sent. */
    private static final long REPORT_MILLIS = 1_000;

    /** Minimum growth of round trips that shows a queue on a link, in milliseconds. */
    private static final double MIN_DELAY_MILLIS = 10;

    /** Minimum growth of round trips that shows a queue on a link, as a fraction of the shortest one. */
    private static final double MIN_DELAY_FRACTION = 0.5;

    /** Fraction of a link that a request is assumed to get however busy the link is. */
    private static final double MIN_LEFT = 0.1;

    /** Fraction of a link's bandwidth that deferrable traffic (see {@link LinkUse#bulk}) may use. */
    private static final double BULK_FRACTION = 0.5;

    /** Time within which the link has to carry a copy, in milliseconds; streams change faster than slower copies. */
    private static final long MAX_COPY_MILLIS = 2_000;

    /** Assumed size of a token in a KV cache, in bytes; models of all sizes need at least as much. */
    private static final long KV_CACHE_TOKEN_BYTES = 16_384;

    private final RegionMap regions;
    private final OptionalDouble boundMbps;
    private final RegionLinkListener listener;
    private final LinkCounters counters;
    private final Map<Region, Link> links = new TreeMap<>();
    private final RoundTrips localRoundTrips = new RoundTrips();
    private final RequestSizes requestSizes = new RequestSizes();
    private final Map<String, RegionReport> remote = new HashMap<>();
    private final StoreLink storeLink;
    private final RegionDemand demand = new RegionDemand();
    private RegionReport reported = RegionReport.NONE;
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private long summedAtMillis = Long.MIN_VALUE / 2;

    /** State of the link to one region. */
    private static final class Link {
        private final RoundTrips roundTrips = new RoundTrips();
        private final LinkBandwidth bandwidth;
        private LinkCounters.Totals sampled = new LinkCounters.Totals(0, 0, 0);
        private long sampledAtMillis = Long.MIN_VALUE;

        /** Traffic of this host, in bytes per second, like the next two. */
        private double sent;

        private double received;
        private double bulk;

        /** Traffic of all hosts in the busier direction at the last sample, in bytes per millisecond. */
        private double fleetTraffic;

        /** KV cache copies that this host has admitted since the last sample, in bytes. */
        private long admittedBytes;

        Link(LinkBandwidth bandwidth) {
            this.bandwidth = bandwidth;
        }

        LinkRate rate() {
            return new LinkRate(Math.round(sent), Math.round(received), Math.round(bulk));
        }
    }

    /**
     * Creates the state of a host that has measured nothing.
     *
     * @param boundMbps bandwidth of each link in megabits per second; empty if it is to be learned
     */
    public RegionLinks(RegionMap regions, OptionalDouble boundMbps, RegionLinkListener listener) {
        this.regions = Objects.requireNonNull(regions, "regions");
        this.boundMbps = Objects.requireNonNull(boundMbps, "bound");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.counters = new LinkCounters(regions.otherRegions());
        this.storeLink = new StoreLink(counters);
        for (Region region : regions.otherRegions()) {
            OptionalDouble set = boundMbps.isPresent()
                    ? OptionalDouble.of(boundMbps.getAsDouble() * BYTES_PER_MILLI_AND_MBPS)
                    : OptionalDouble.empty();
            links.put(region, new Link(new LinkBandwidth(set)));
        }
    }

    /** Returns the links of a host that does not know regions. */
    public static RegionLinks none() {
        return new RegionLinks(
                new RegionMap(new FailureDomain("any"), Map.of()), OptionalDouble.empty(), RegionLinkListener.none());
    }

    /** Returns whether there are several regions. */
    public boolean isActive() {
        return !links.isEmpty();
    }

    /** Returns the regions of the failure domains. */
    public RegionMap regions() {
        return regions;
    }

    /** Returns the counters to which the bytes on the links are added. */
    public LinkCounters counters() {
        return counters;
    }

    /** Returns the link to the region of the store. */
    public StoreLink storeLink() {
        return storeLink;
    }

    /** Records in which time a connection to a target or host of a domain opened. */
    public void recordRoundTrip(FailureDomain domain, double millis, long nowMillis) {
        if (isActive()) {
            regions.otherRegion(domain)
                    .map(region -> links.get(region).roundTrips)
                    .orElse(localRoundTrips)
                    .record(millis, nowMillis);
        }
    }

    /** Counts a request to a target, wherever that is. */
    public void recordRequest(ServiceName service) {
        if (isActive()) {
            requestSizes.addRequest(service);
        }
    }

    /** Counts bytes of a request or an answer, wherever its target is. */
    public void recordBytes(ServiceName service, long bytes) {
        if (isActive()) {
            requestSizes.addBytes(service, bytes);
        }
    }

    /** Records that a request was placed on a target of a domain. */
    public void recordPlacement(FailureDomain domain) {
        regions.otherRegion(domain).ifPresent(listener::onCrossing);
    }

    /** Returns the shortest round trip to a domain in another region, in milliseconds; 0 in this host's region. */
    public double roundTripMillis(FailureDomain domain) {
        return regions.otherRegion(domain)
                .map(region -> links.get(region).roundTrips.shortestMillis())
                .orElse(0.0);
    }

    /**
     * Returns what requests to the targets of a service have to expect if they cross a link, by failure domain; domains
     * in this host's region are omitted.
     */
    public Map<FailureDomain, Crossing> crossings(List<EntryTarget> targets, long nowMillis) {
        if (!isActive() || targets.isEmpty()) {
            return Map.of();
        }
        ServiceName service = targets.getFirst().service();
        Map<Region, Integer> targetsByRegion = new HashMap<>();
        targets.forEach(target -> regions.otherRegion(target.failureDomain())
                .ifPresent(region -> targetsByRegion.merge(region, 1, Integer::sum)));
        Map<FailureDomain, Crossing> crossings = new HashMap<>();
        for (EntryTarget target : targets) {
            FailureDomain domain = target.failureDomain();
            regions.otherRegion(domain)
                    .ifPresent(region -> crossings.computeIfAbsent(
                            domain,
                            _ -> new Crossing(
                                    crossingMillis(service, domain, nowMillis),
                                    demand.perMilli(region, service) / targetsByRegion.get(region))));
        }
        return crossings;
    }

    /**
     * Returns the requests per millisecond that the other hosts of this host's region send to a service; empty without
     * several regions, or if none of them reports any.
     */
    public OptionalDouble localRequestsPerMilli(ServiceName service) {
        return regions.localRegion()
                .filter(_ -> isActive())
                .map(region -> demand.perMilli(region, service))
                .filter(rate -> rate > 0)
                .map(OptionalDouble::of)
                .orElse(OptionalDouble.empty());
    }

    /**
     * Returns by how much later a request to a domain in another region is answered, in milliseconds; 0 in this host's
     * region. It is the round trip with its current delay and the time in which the link carries the request and its
     * answer beside its other traffic.
     */
    double crossingMillis(ServiceName service, FailureDomain domain, long nowMillis) {
        return regions.otherRegion(domain)
                .map(region -> {
                    Link link = links.get(region);
                    double bandwidth = link.bandwidth.bytesPerMilli();
                    double left = Math.max(MIN_LEFT * bandwidth, bandwidth - link.fleetTraffic);
                    return link.roundTrips.shortestMillis()
                            + delayMillis(link, nowMillis)
                            + requestSizes.meanBytes(service) / left;
                })
                .orElse(0.0);
    }

    /**
     * Returns whether a copy of a KV cache may be made; records it as traffic if it crosses one of this host's links.
     *
     * @param tokens size of the KV cache
     */
    public boolean admitCopy(FailureDomain from, FailureDomain to, long tokens) {
        Optional<Region> region = crossedRegion(from, to);
        if (region.isEmpty()) {
            return true;
        }
        if (!hasRoomForCopy(from, to, tokens)) {
            listener.onCopyLeftOut(region.get());
            return false;
        }
        long bytes = tokens * KV_CACHE_TOKEN_BYTES;
        links.get(region.get()).admittedBytes += bytes;
        counters.addSent(region.get(), LinkUse.KV_CACHE_COPIES, bytes);
        return true;
    }

    /** Returns whether {@link #admitCopy} would admit a copy, without recording it. */
    public boolean hasRoomForCopy(FailureDomain from, FailureDomain to, long tokens) {
        return crossedRegion(from, to)
                .map(region -> {
                    Link link = links.get(region);
                    double left = BULK_FRACTION * link.bandwidth.bytesPerMilli() - bulkTraffic(region);
                    return link.admittedBytes + tokens * KV_CACHE_TOKEN_BYTES <= left * MAX_COPY_MILLIS;
                })
                .orElse(true);
    }

    /** Returns the region at the other end of this host's link that a transfer crosses; empty if it crosses none. */
    private Optional<Region> crossedRegion(FailureDomain from, FailureDomain to) {
        return regions.differs(from, to)
                ? regions.otherRegion(to).or(() -> regions.otherRegion(from))
                : Optional.empty();
    }

    /**
     * Returns this host's demand and traffic, to be reported to the other hosts; the same as before unless it differs
     * considerably.
     *
     * @param requestsPerMilli requests per millisecond that this host sends, by service
     */
    public RegionReport report(Map<ServiceName, Double> requestsPerMilli, long nowMillis) {
        if (!isActive()) {
            return RegionReport.NONE;
        }
        if (nowMillis < summedAtMillis || nowMillis - summedAtMillis >= SAMPLE_MILLIS) {
            summedAtMillis = nowMillis;
            demand.update(remote.values());
            Map<Region, Double> roundTrips = new TreeMap<>();
            links.forEach((region, link) -> roundTrips.put(region, link.roundTrips.shortestMillis()));
            storeLink.locate(roundTrips);
        }
        Map<ServiceName, Double> perSecond = new HashMap<>();
        requestsPerMilli.forEach((service, rate) -> perSecond.put(service, rate * 1_000));
        Map<Region, LinkRate> rates = new TreeMap<>();
        links.forEach((region, link) -> {
            sample(region, link, nowMillis);
            if (!link.rate().equals(LinkRate.NONE)) {
                rates.put(region, link.rate());
            }
        });
        RegionReport current = new RegionReport(regions.localRegion(), rates, perSecond);
        boolean due = nowMillis < reportedAtMillis || nowMillis - reportedAtMillis >= REPORT_MILLIS;
        if (due && current.differsFrom(reported)) {
            reported = current;
            reportedAtMillis = nowMillis;
        }
        return reported;
    }

    /** Replaces what another host has reported. */
    public void updateRemote(String host, RegionReport report) {
        if (isActive()) {
            remote.put(host, report);
        }
    }

    /** Removes the report of a host that has become silent. */
    public void removeRemote(String host) {
        remote.remove(host);
    }

    private void sample(Region region, Link link, long nowMillis) {
        boolean first = link.sampledAtMillis == Long.MIN_VALUE || nowMillis < link.sampledAtMillis;
        long elapsedMillis = first ? 0 : nowMillis - link.sampledAtMillis;
        if (!first && elapsedMillis < SAMPLE_MILLIS) {
            return;
        }
        LinkCounters.Totals totals = counters.totals(region);
        if (!first) {
            double weight = 1 - Math.exp(-elapsedMillis / RATE_MILLIS);
            double perSecond = 1_000.0 / elapsedMillis;
            link.sent += weight * ((totals.sent() - link.sampled.sent()) * perSecond - link.sent);
            link.received += weight * ((totals.received() - link.sampled.received()) * perSecond - link.received);
            link.bulk += weight * ((totals.bulk() - link.sampled.bulk()) * perSecond - link.bulk);
        }
        link.sampled = totals;
        link.sampledAtMillis = nowMillis;
        link.admittedBytes = 0;
        link.fleetTraffic = traffic(region);
        double delay = delayMillis(link, nowMillis);
        boolean delayed = delay >= Math.max(MIN_DELAY_MILLIS, MIN_DELAY_FRACTION * link.roundTrips.shortestMillis());
        link.bandwidth
                .observe(link.fleetTraffic, delayed, nowMillis)
                .ifPresent(observed -> listener.onBandwidthContradicted(
                        region, boundMbps.orElseThrow(), observed / BYTES_PER_MILLI_AND_MBPS));
    }

    /**
     * Returns the delay on a link, in milliseconds. A delay that connections within the region have too is that of this
     * host; without any such connection, the two cannot be told apart.
     */
    private double delayMillis(Link link, long nowMillis) {
        return localRoundTrips.isRecent(nowMillis)
                ? Math.max(0, link.roundTrips.growthMillis(nowMillis) - localRoundTrips.growthMillis(nowMillis))
                : 0;
    }

    /** Returns the traffic of all hosts in the busier direction, in bytes per millisecond. */
    private double traffic(Region region) {
        Link link = links.get(region);
        double outgoing = link.sent;
        double incoming = link.received;
        for (RegionReport report : remote.values()) {
            if (report.region().equals(regions.localRegion())) {
                LinkRate rate = report.link(region);
                outgoing += rate.sent();
                incoming += rate.received();
            } else if (report.region().filter(region::equals).isPresent()) {
                LinkRate rate = report.link(regions.localRegion().orElseThrow());
                outgoing += rate.received();
                incoming += rate.sent();
            }
        }
        return Math.max(outgoing, incoming) / 1_000;
    }

    private double bulkTraffic(Region region) {
        double bulk = links.get(region).bulk;
        for (RegionReport report : remote.values()) {
            if (report.region().equals(regions.localRegion())) {
                bulk += report.link(region).bulk();
            } else if (report.region().filter(region::equals).isPresent()) {
                bulk += report.link(regions.localRegion().orElseThrow()).bulk();
            }
        }
        return bulk / 1_000;
    }
}
