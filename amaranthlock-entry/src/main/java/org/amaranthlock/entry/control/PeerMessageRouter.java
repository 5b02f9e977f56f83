package org.amaranthlock.entry.control;

import java.util.Objects;
import java.util.function.Consumer;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerListener;

/** Hands what arrives on the links between hosts to the part that it is for. */
public final class PeerMessageRouter implements PeerListener {
    private final PeerStoreServer peerStoreServer;
    private final PeerStoreClient peerStoreClient;
    private final Consumer<HostLoadReport> loadReportListener;

    /** Creates the distribution; {@code news} takes what other hosts have in flight. */
    public PeerMessageRouter(
            PeerStoreServer peerStoreServer,
            PeerStoreClient peerStoreClient,
            Consumer<HostLoadReport> loadReportListener) {
        this.peerStoreServer = Objects.requireNonNull(peerStoreServer, "relay");
        this.peerStoreClient = Objects.requireNonNull(peerStoreClient, "neighbour");
        this.loadReportListener = Objects.requireNonNull(loadReportListener, "news");
    }

    @Override
    public void onMessage(EntryPeerMessage message, Consumer<EntryPeerMessage> reply) {
        switch (message) {
            case EntryPeerMessage.LoadReport loadReport -> loadReportListener.accept(loadReport.report());
            case EntryPeerMessage.ConfigurationQuery query -> peerStoreServer.handleQuery(query, reply);
            case EntryPeerMessage.TargetsQuery query -> peerStoreServer.handleQuery(query, reply);
            case EntryPeerMessage.Response _ -> throw new IllegalArgumentException("an answer without a question");
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
