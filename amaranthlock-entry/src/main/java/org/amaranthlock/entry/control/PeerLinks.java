package org.amaranthlock.entry.control;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.loadreport.ReportPeer;
import org.amaranthlock.coordination.region.RegionLinks;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerConnections;
import org.amaranthlock.entry.peer.PeerFrame;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.platform.PeerRegistration;

/** The connections to the other hosts as the components of this one use them. All calls are on the control loop. */
public final class PeerLinks
        implements StreamVersionExchange.Peers, LoadReportExchange.Links, StartFromPeers.Peers, RolloutWatcher.Links {
    private final PeerConnections connections;
    private final Optional<FailureDomain> onlyDomain;
    private final RegionLinks links;

    private PeerLinks(PeerConnections connections, Optional<FailureDomain> onlyDomain, RegionLinks links) {
        this.connections = Objects.requireNonNull(connections, "connections");
        this.onlyDomain = onlyDomain;
        this.links = Objects.requireNonNull(links, "links");
    }

    /** Returns the connections to all hosts. */
    public static PeerLinks toFleet(PeerConnections connections) {
        return new PeerLinks(connections, Optional.empty(), RegionLinks.none());
    }

    /** Returns connections of which only those to the hosts of one failure domain are listed for queries. */
    public static PeerLinks toDomain(PeerConnections connections, FailureDomain domain) {
        return toReaders(connections, domain, RegionLinks.none());
    }

    /**
     * Returns connections of which only those to the hosts that share reads of the store are listed for queries: the
     * hosts of this host's failure domain, or of its region if the store is in another one.
     */
    public static PeerLinks toReaders(PeerConnections connections, FailureDomain domain, RegionLinks links) {
        return new PeerLinks(connections, Optional.of(domain), links);
    }

    @Override
    public Set<String> connectedPeers() {
        return onlyDomain.map(this::connectedReaders).orElseGet(connections::connectedPeers);
    }

    @Override
    public Set<String> connectedDomainPeers() {
        return onlyDomain
                .map(domain -> connections.connectedPeers(domain::equals))
                .orElseGet(connections::connectedPeers);
    }

    @Override
    public boolean isStoreRemote() {
        return links.storeLink().region().isPresent();
    }

    private Set<String> connectedReaders(FailureDomain domain) {
        return connections.connectedPeers(other ->
                other.equals(domain) || (isStoreRemote() && links.regions().isLocal(other)));
    }

    @Override
    public Set<String> peersThatKeepStreamVersions() {
        return connections.peersThatKeepStreamVersions();
    }

    @Override
    public List<PeerRegistration> peersThatTellStarts() {
        return connections.peersThatTellStarts();
    }

    @Override
    public boolean isConnecting() {
        return connections.awaitsMessageLevels();
    }

    @Override
    public boolean sendStartQuery(String peer, EntryPeerMessage.StartQuery query) {
        return connections.sendQuery(peer, query);
    }

    @Override
    public Collection<ReportPeer> connected() {
        return connections.reportPeers();
    }

    @Override
    public Set<String> registered() {
        return connections.registeredPeers();
    }

    @Override
    public boolean sendQuery(String peer, EntryPeerMessage query) {
        return connections.sendQuery(peer, query);
    }

    @Override
    public int send(Collection<String> hosts, EntryPeerMessage message) {
        return connections.send(hosts, message);
    }

    @Override
    public int send(Collection<String> hosts, PeerFrame frame) {
        return connections.send(hosts, frame);
    }

    @Override
    public void connect(String host) {
        connections.connect(host);
    }

    @Override
    public void reset(String peer) {
        connections.reset(peer);
    }
}
