package org.amaranthlock.entry.peer;

import java.util.function.Consumer;

/** Takes what arrives on the links between hosts; called on the control loop. */
public interface PeerListener {
    /**
     * Takes a message that another host sent on its own link.
     *
     * @param reply sends a message back on the same link
     */
    void onMessage(EntryPeerMessage message, Consumer<EntryPeerMessage> reply);

    /** Takes the answer to a question of this host. */
    void onAnswer(EntryPeerMessage.Answer answer);

    /** Takes that the link to a host is closed; questions on it get no answer. */
    void onLinkClosed(String peer);
}
