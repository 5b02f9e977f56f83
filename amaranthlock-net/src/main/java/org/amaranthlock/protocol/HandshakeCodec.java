package org.amaranthlock.protocol;

import java.io.IOException;
import org.amaranthlock.model.HostId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes handshake messages as MessagePack arrays {@code [type, version, ...]}.
 *
 * <p>The types are negative, so that a handshake message can't be mistaken for a {@link PeerFrame}. Thread-safe.
 */
public final class HandshakeCodec {
    private static final int HELLO_TYPE = -1;
    private static final int PROOF_TYPE = -2;
    private static final int VERSION = 1;
    private static final int HELLO_ARRAY_SIZE = 5;
    private static final int PROOF_ARRAY_SIZE = 3;

    /** Encodes a message. */
    public byte[] encode(HandshakeMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            switch (message) {
                case HandshakeMessage.Hello hello -> {
                    packer.packArrayHeader(HELLO_ARRAY_SIZE).packInt(HELLO_TYPE).packInt(VERSION);
                    packer.packString(hello.sender().value());
                    packer.packLong(hello.incarnation());
                    writeBinary(packer, hello.challenge());
                }
                case HandshakeMessage.Proof proof -> {
                    packer.packArrayHeader(PROOF_ARRAY_SIZE).packInt(PROOF_TYPE).packInt(VERSION);
                    writeBinary(packer, proof.mac());
                }
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode a handshake message", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedDataException if the bytes are not a handshake message of this version
     */
    public HandshakeMessage decode(byte[] bytes) {
        try {
            BoundedUnpacker unpacker = new BoundedUnpacker(bytes);
            int size = unpacker.readArrayHeader();
            int type = unpacker.readInt();
            int version = unpacker.readInt();
            if (version == VERSION && type == HELLO_TYPE && size == HELLO_ARRAY_SIZE) {
                return new HandshakeMessage.Hello(
                        new HostId(unpacker.readString()), unpacker.readLong(), unpacker.readBinary());
            }
            if (version == VERSION && type == PROOF_TYPE && size == PROOF_ARRAY_SIZE) {
                return new HandshakeMessage.Proof(unpacker.readBinary());
            }
            throw new MalformedDataException("not a handshake message of version " + VERSION + ": type " + type
                    + ", version " + version + ", size " + size);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedDataException("not a handshake message; check the address of the peer", e);
        }
    }

    private static void writeBinary(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }
}
