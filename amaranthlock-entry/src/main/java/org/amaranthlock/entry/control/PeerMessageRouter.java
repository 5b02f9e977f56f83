package org.amaranthlock.entry.control;

import java.util.Objects;
import java.util.function.Consumer;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerListener;

/** Hands what arrives on the links between hosts to the part that it is for. */
public final class PeerMessageRouter implements PeerListener {
    private final PeerStoreServer relay;
    private final PeerStoreClient neighbour;
    private final Consumer<HostLoadReport> news;

    /** Creates the distribution; {@code news} takes what other hosts have in flight. */
    public PeerMessageRouter(PeerStoreServer relay, PeerStoreClient neighbour, Consumer<HostLoadReport> news) {
        this.relay = Objects.requireNonNull(relay, "relay");
        this.neighbour = Objects.requireNonNull(neighbour, "neighbour");
        this.news = Objects.requireNonNull(news, "news");
    }

    @Override
    public void onMessage(EntryPeerMessage message, Consumer<EntryPeerMessage> reply) {
        switch (message) {
            case EntryPeerMessage.News told -> news.accept(told.report());
            case EntryPeerMessage.ConfigurationQuery question -> relay.handleQuery(question, reply);
            case EntryPeerMessage.TargetsQuery question -> relay.handleQuery(question, reply);
            case EntryPeerMessage.Answer _ -> throw new IllegalArgumentException("an answer without a question");
        }
    }

    @Override
    public void onAnswer(EntryPeerMessage.Answer answer) {
        neighbour.onAnswer(answer);
    }

    @Override
    public void onLinkClosed(String peer) {
        neighbour.onPeerLost(peer, "link-closed");
    }
}
