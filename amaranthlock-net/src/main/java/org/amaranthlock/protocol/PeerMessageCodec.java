package org.amaranthlock.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes peer frames as MessagePack arrays
 * {@code [type, version, sender, incarnation, hybridTime, body]}.
 *
 * <p>The type is the index of the message class in a fixed list. {@code hybridTime} is the timestamp of the sender's
 * {@link HybridClock}. Thread-safe.
 */
public final class PeerMessageCodec {
    /** Version of the message bodies; incremented when the components of an existing message change. */
    public static final int VERSION = 1;

    private static final int FRAME_ARRAY_SIZE = 6;

    /** The index in this list is the type on the wire, so new messages must be appended. */
    private static final List<Class<? extends PeerMessage>> MESSAGE_CLASSES = List.of(
            PeerMessage.Ping.class,
            PeerMessage.Ack.class,
            PeerMessage.PingRequest.class,
            PeerMessage.ClaimRequest.class,
            PeerMessage.ClaimReply.class,
            PeerMessage.OutcomeBatch.class,
            PeerMessage.OutcomeAck.class,
            PeerMessage.NotOwner.class,
            PeerMessage.OutcomeQuery.class,
            PeerMessage.OutcomeReply.class,
            PeerMessage.CheckpointSave.class,
            PeerMessage.CheckpointAppend.class,
            PeerMessage.CheckpointDrop.class,
            PeerMessage.CheckpointQuery.class,
            PeerMessage.CheckpointReply.class,
            PeerMessage.HandoverRequest.class,
            PeerMessage.ConfigPush.class,
            PeerMessage.ConfigPull.class,
            PeerMessage.UsageReport.class,
            PeerMessage.ShareGrant.class,
            PeerMessage.CompletedResponseSave.class,
            PeerMessage.CompletedResponseReply.class);

    private final Map<Class<?>, Integer> typesByClass = new HashMap<>();
    private final List<WireFormat> bodyFormats = new ArrayList<>();

    /** Creates a codec. */
    public PeerMessageCodec() {
        // The index in each list is the number on the wire, so new records must be appended.
        WireFormatRegistry registry = new WireFormatRegistry(Map.of(
                Work.class, List.of(Work.Generation.class, Work.ServiceCall.class),
                ClaimResult.class,
                        List.of(
                                ClaimResult.Granted.class,
                                ClaimResult.Held.class,
                                ClaimResult.Closed.class,
                                ClaimResult.KeyReused.class,
                                ClaimResult.Unavailable.class)));
        for (Class<?> messageClass : MESSAGE_CLASSES) {
            typesByClass.put(messageClass, bodyFormats.size());
            bodyFormats.add(registry.formatOf(messageClass));
        }
    }

    /** Encodes a frame. */
    public byte[] encode(PeerFrame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            int type = typesByClass.get(frame.message().getClass());
            packer.packArrayHeader(FRAME_ARRAY_SIZE);
            packer.packInt(type);
            packer.packInt(VERSION);
            packer.packString(frame.sender().value());
            packer.packLong(frame.incarnation());
            packer.packLong(frame.hybridTime());
            bodyFormats.get(type).write(packer, frame.message());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "failed to encode a " + frame.message().getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes a frame.
     *
     * <p>Frames of an unknown type or version may have more elements and are not malformed, so that frames of a later
     * release don't close the connection during a rolling upgrade.
     *
     * @return the frame, or empty if its type or version is unknown; the caller skips such a frame
     * @throws MalformedDataException if the bytes are not a frame
     */
    public Optional<PeerFrame> decode(byte[] bytes) {
        try {
            return readFrame(new BoundedUnpacker(bytes));
        } catch (IOException
                | MessagePackException
                | IllegalArgumentException
                | NullPointerException
                | IndexOutOfBoundsException e) {
            throw new MalformedDataException("not a peer frame; check that the peer runs a compatible release", e);
        }
    }

    private Optional<PeerFrame> readFrame(BoundedUnpacker unpacker) throws IOException {
        int size = unpacker.readArrayHeader();
        int type = unpacker.readInt();
        int version = unpacker.readInt();
        if (type < 0 || size < FRAME_ARRAY_SIZE) {
            throw new MalformedDataException("not a peer frame: type " + type + ", size " + size);
        }
        if (type >= bodyFormats.size() || version != VERSION) {
            return Optional.empty();
        }
        HostId sender = new HostId(unpacker.readString());
        long incarnation = unpacker.readLong();
        long hybridTime = unpacker.readLong();
        PeerMessage message = (PeerMessage) bodyFormats.get(type).read(unpacker);
        if (size != FRAME_ARRAY_SIZE || !unpacker.atEnd()) {
            throw new MalformedDataException("peer frame has surplus elements or is followed by surplus bytes");
        }
        return Optional.of(new PeerFrame(sender, incarnation, hybridTime, message));
    }
}
