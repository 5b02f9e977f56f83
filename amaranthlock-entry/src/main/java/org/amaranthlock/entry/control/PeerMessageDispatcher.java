package org.amaranthlock.entry.control;

import java.util.Objects;
import java.util.function.Consumer;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerListener;

/** Dispatches messages from peers to the components that handle them. */
public final class PeerMessageDispatcher implements PeerListener {
    private final PeerStoreServer peerStoreServer;
    private final PeerStoreClient peerStoreClient;
    private final Consumer<HostLoadReport> loadReportListener;

    /** Creates a dispatcher; {@code loadReportListener} receives the load reports of other hosts. */
    public PeerMessageDispatcher(
            PeerStoreServer peerStoreServer,
            PeerStoreClient peerStoreClient,
            Consumer<HostLoadReport> loadReportListener) {
        this.peerStoreServer = Objects.requireNonNull(peerStoreServer, "peer store server");
        this.peerStoreClient = Objects.requireNonNull(peerStoreClient, "peer store client");
        this.loadReportListener = Objects.requireNonNull(loadReportListener, "load report listener");
    }

    @Override
    public void onMessage(EntryPeerMessage message, Consumer<EntryPeerMessage> reply) {
        switch (message) {
            case EntryPeerMessage.LoadReport loadReport -> loadReportListener.accept(loadReport.report());
            case EntryPeerMessage.ConfigurationQuery query -> peerStoreServer.handleQuery(query, reply);
            case EntryPeerMessage.TargetsQuery query -> peerStoreServer.handleQuery(query, reply);
            case EntryPeerMessage.Response _ ->
                throw new IllegalArgumentException(
                        "response received on an inbound connection, which carries no queries of this host");
        }
    }

    @Override
    public void onResponse(EntryPeerMessage.Response response) {
        peerStoreClient.onResponse(response);
    }

    @Override
    public void onConnectionClosed(String peer) {
        peerStoreClient.onPeerLost(peer, "link-closed");
    }
}
