package org.amaranthlock.protocol;

import java.io.IOException;
import org.amaranthlock.model.HostId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Translates handshake messages: MessagePack arrays {@code [type, version, ...]} with negative types, so that no
 * handshake message can be taken for a {@link PeerFrame}. Thread-safe.
 */
public final class HandshakeCodec {
    private static final int HELLO = -1;
    private static final int PROOF = -2;
    private static final int VERSION = 1;
    private static final int HELLO_SIZE = 5;
    private static final int PROOF_SIZE = 3;

    /** Returns the bytes of a message. */
    public byte[] encode(HandshakeMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            switch (message) {
                case HandshakeMessage.Hello hello -> {
                    packer.packArrayHeader(HELLO_SIZE).packInt(HELLO).packInt(VERSION);
                    packer.packString(hello.sender().value());
                    packer.packLong(hello.incarnation());
                    writeBinary(packer, hello.challenge());
                }
                case HandshakeMessage.Proof proof -> {
                    packer.packArrayHeader(PROOF_SIZE).packInt(PROOF).packInt(VERSION);
                    writeBinary(packer, proof.mac());
                }
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Reads a message.
     *
     * @throws MalformedDataException if the bytes are no handshake message of this version
     */
    public HandshakeMessage decode(byte[] bytes) {
        try {
            BoundedUnpacker unpacker = new BoundedUnpacker(bytes);
            int size = unpacker.arraySize();
            int type = unpacker.intValue();
            int version = unpacker.intValue();
            if (version == VERSION && type == HELLO && size == HELLO_SIZE) {
                return new HandshakeMessage.Hello(new HostId(unpacker.text()), unpacker.longValue(), unpacker.binary());
            }
            if (version == VERSION && type == PROOF && size == PROOF_SIZE) {
                return new HandshakeMessage.Proof(unpacker.binary());
            }
            throw new MalformedDataException("not a handshake message: type " + type + ", version " + version);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedDataException("not a handshake message; check the address of the peer", e);
        }
    }

    private static void writeBinary(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }
}
