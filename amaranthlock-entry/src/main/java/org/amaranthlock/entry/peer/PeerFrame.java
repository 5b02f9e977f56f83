package org.amaranthlock.entry.peer;

import java.util.Objects;

/** Message to other hosts in its encoded form, so that one that goes to many hosts is encoded once. */
public final class PeerFrame {
    /** Bytes of the length that precedes each message. */
    static final int LENGTH_BYTES = 3;

    private final EntryPeerMessage message;
    private final byte[] encoded;

    private PeerFrame(EntryPeerMessage message, byte[] encoded) {
        this.message = message;
        this.encoded = encoded;
    }

    /** Encodes a message. */
    public static PeerFrame of(EntryPeerMessage message) {
        Objects.requireNonNull(message, "message");
        return new PeerFrame(message, EntryPeerMessageCodec.encode(message));
    }

    /** Returns the message. */
    public EntryPeerMessage message() {
        return message;
    }

    /** Returns the bytes on the connection, with the length and without the headers of the network. */
    public int bytes() {
        return encoded.length + LENGTH_BYTES;
    }

    /** Returns the message as it is written after its length; not to be changed. */
    byte[] encoded() {
        return encoded;
    }
}
