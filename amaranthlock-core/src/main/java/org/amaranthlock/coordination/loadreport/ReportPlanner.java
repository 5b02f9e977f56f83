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
 * host that is frozen, cut off or gone delays nothing. If there is too much to pass on for the link of one host, the hosts
 * of a domain are divided into groups, each with two hosts of its own that pass its reports on. In a small fleet, and to
 * hosts of earlier builds, reports go directly.
 */
public final class ReportPlanner {
    /** Largest fleet in which each host reports to each other one; relays would save few messages there. */
    public static final int MAX_DIRECT_HOSTS = 24;

    /** Hosts of a failure domain that pass on the same report. */
    private static final int RELAYS_PER_GROUP = 2;

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
     * @param groups groups into which the hosts of each failure domain are divided, if it has enough of them
     */
    public ReportPlan plan(Collection<ReportPeer> connected, int hostCount, int groups) {
        Arguments.require(groups > 0, "groups must be positive");
        Map<FailureDomain, List<ReportPeer>> byDomain = connected.stream()
                .filter(ReportPeer::passesOn)
                .collect(Collectors.groupingBy(
                        ReportPeer::domain,
                        () -> new TreeMap<>((a, b) -> a.value().compareTo(b.value())),
                        Collectors.toList()));
        List<ReportPeer> members = byDomain.getOrDefault(localDomain, List.of());
        byDomain.remove(localDomain);
        List<String> localOrder = localOrder(members);
        int position = localOrder.indexOf(localHost);
        List<String> localRelays = relaysOfGroup(localOrder, position, groups);
        Set<String> remoteRelays = new HashSet<>();
        byDomain.forEach((domain, hosts) ->
                remoteRelays.addAll(relaysOfGroup(remoteOrder(domain, hosts), position / RELAYS_PER_GROUP, groups)));
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

    /** Returns the number of hosts of the local failure domain that pass reports on, with this one. */
    public int domainSize(Collection<ReportPeer> connected) {
        return 1
                + (int) connected.stream()
                        .filter(peer -> peer.passesOn() && peer.domain().equals(localDomain))
                        .count();
    }

    private List<String> localOrder(List<ReportPeer> members) {
        List<String> candidates = new ArrayList<>();
        candidates.add(localHost);
        members.stream().filter(ReportPeer::responsive).map(ReportPeer::name).forEach(candidates::add);
        return order(localDomain, candidates);
    }

    /** Returns the hosts of another domain that this one may have pass reports on, in their order. */
    private static List<String> remoteOrder(FailureDomain domain, List<ReportPeer> hosts) {
        List<String> responsive = hosts.stream()
                .filter(ReportPeer::responsive)
                .map(ReportPeer::name)
                .toList();
        return order(domain, responsive.isEmpty() ? List.copyOf(names(hosts)) : responsive);
    }

    /**
     * Returns the hosts that pass reports on for a group. Both relays of a group send to both of them in another domain, so
     * that one frozen host in each domain cuts no way.
     *
     * @param ordered hosts of a failure domain; the first ones pass reports on
     * @param index number that is mapped to a group
     */
    private static List<String> relaysOfGroup(List<String> ordered, int index, int groups) {
        int group = index % Math.clamp(ordered.size() / RELAYS_PER_GROUP, 1, groups);
        int first = group * RELAYS_PER_GROUP;
        return ordered.subList(first, Math.min(first + RELAYS_PER_GROUP, ordered.size()));
    }

    private static List<String> order(FailureDomain domain, List<String> candidates) {
        return RendezvousOrder.order(domain.value(), candidates, Function.identity());
    }

    private static Set<String> names(List<ReportPeer> peers) {
        return peers.stream().map(ReportPeer::name).collect(Collectors.toSet());
    }
}
