package org.amaranthlock.coordination.loadreport;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.membership.RendezvousOrder;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.FailureDomain;

/**
 * Plans to which hosts load reports go.
 *
 * <p>Answers a fleet in which all hosts have requests and so report all the time: if each host reported to each other
 * one, the messages would grow with the square of the hosts. In a large fleet a host sends its report to two hosts of its
 * failure domain; these send what they got from their domain to the whole domain and to two hosts of each other domain,
 * which send it to theirs. The sender chooses who passes its report on, so hosts need not agree, and with two of them a
 * host that is frozen, cut off or gone delays nothing. In a small fleet, and to hosts of earlier builds, reports go
 * directly.
 */
public final class ReportPlanner {
    /** Largest fleet in which each host reports to each other one; relays would save few messages there. */
    public static final int MAX_DIRECT_HOSTS = 24;

    /** Hosts of a failure domain that pass on the same report. */
    private static final int RELAYS_PER_DOMAIN = 2;

    private final String localHost;
    private final FailureDomain localDomain;
    private final boolean relaysEnabled;

    /**
     * Creates a planner for a host.
     *
     * @param relaysEnabled whether the reports of this host go through others in a large fleet
     */
    public ReportPlanner(String localHost, FailureDomain localDomain, boolean relaysEnabled) {
        this.localHost = Arguments.requireText(localHost, "local host");
        this.localDomain = Objects.requireNonNull(localDomain, "local domain");
        this.relaysEnabled = relaysEnabled;
    }

    /**
     * Plans the recipients.
     *
     * @param connected hosts to which this one is connected
     * @param hostCount hosts of the fleet, connected or not, with this one
     */
    public ReportPlan plan(Collection<ReportPeer> connected, int hostCount) {
        Map<FailureDomain, List<ReportPeer>> byDomain = connected.stream()
                .filter(ReportPeer::passesOn)
                .collect(Collectors.groupingBy(
                        ReportPeer::domain,
                        () -> new TreeMap<>((a, b) -> a.value().compareTo(b.value())),
                        Collectors.toList()));
        List<ReportPeer> members = byDomain.getOrDefault(localDomain, List.of());
        byDomain.remove(localDomain);
        List<String> localRelays = localRelays(members);
        Set<String> remoteRelays = new HashSet<>();
        byDomain.forEach((domain, hosts) -> remoteRelays.addAll(remoteRelays(domain, hosts)));
        boolean direct = !relaysEnabled || hostCount <= MAX_DIRECT_HOSTS;
        Set<String> otherRelays = new HashSet<>(localRelays);
        otherRelays.remove(localHost);
        return new ReportPlan(
                names(connected.stream()
                        .filter(peer -> direct || !peer.passesOn())
                        .toList()),
                direct ? Set.of() : otherRelays,
                !direct && localRelays.contains(localHost),
                names(members),
                remoteRelays);
    }

    private List<String> localRelays(List<ReportPeer> members) {
        List<String> candidates = new ArrayList<>();
        candidates.add(localHost);
        members.stream().filter(ReportPeer::responsive).map(ReportPeer::name).forEach(candidates::add);
        return first(localDomain, candidates);
    }

    /**
     * Returns the hosts of another domain to which this one passes on. Both relays of this domain send to both of them,
     * so that one frozen host in each domain cuts no way.
     */
    private static List<String> remoteRelays(FailureDomain domain, List<ReportPeer> hosts) {
        List<String> responsive = hosts.stream()
                .filter(ReportPeer::responsive)
                .map(ReportPeer::name)
                .toList();
        return first(domain, responsive.isEmpty() ? List.copyOf(names(hosts)) : responsive);
    }

    private static List<String> first(FailureDomain domain, List<String> candidates) {
        List<String> ordered = RendezvousOrder.order(domain.value(), candidates, Function.identity());
        return ordered.subList(0, Math.min(RELAYS_PER_DOMAIN, ordered.size()));
    }

    private static Set<String> names(List<ReportPeer> peers) {
        return peers.stream().map(ReportPeer::name).collect(Collectors.toSet());
    }
}
