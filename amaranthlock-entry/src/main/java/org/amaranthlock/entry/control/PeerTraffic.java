package org.amaranthlock.entry.control;

import java.util.Objects;
import java.util.function.Consumer;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.entry.peer.PeerListener;
import org.amaranthlock.entry.peer.PeerMessage;

/** Hands what arrives on the links between hosts to the part that it is for. */
public final class PeerTraffic implements PeerListener {
    private final StoreRelay relay;
    private final LinkedNeighbour neighbour;
    private final Consumer<HostLoadReport> news;

    /** Creates the distribution; {@code news} takes what other hosts have in flight. */
    public PeerTraffic(StoreRelay relay, LinkedNeighbour neighbour, Consumer<HostLoadReport> news) {
        this.relay = Objects.requireNonNull(relay, "relay");
        this.neighbour = Objects.requireNonNull(neighbour, "neighbour");
        this.news = Objects.requireNonNull(news, "news");
    }

    @Override
    public void received(PeerMessage message, Consumer<PeerMessage> reply) {
        switch (message) {
            case PeerMessage.News told -> news.accept(told.news());
            case PeerMessage.ConfigurationQuestion question -> relay.ask(question, reply);
            case PeerMessage.TargetsQuestion question -> relay.ask(question, reply);
            case PeerMessage.Answer _ -> throw new IllegalArgumentException("an answer without a question");
        }
    }

    @Override
    public void answered(PeerMessage.Answer answer) {
        neighbour.answered(answer);
    }

    @Override
    public void linkClosed(String peer) {
        neighbour.lost(peer, "link-closed");
    }
}
