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
 * Translates frames between routers: MessagePack arrays {@code [type, version, sender, incarnation, hlc, body]}.
 *
 * <p>The type is the number of the message in a fixed list. Thread-safe.
 */
public final class PeerMessageCodec {
    /** Version of the message bodies; raised when the components of an existing message change. */
    public static final int VERSION = 1;

    private static final int FRAME_SIZE = 6;

    /** New messages are added at the end, because the place in the list is the type on the wire. */
    private static final List<Class<? extends PeerMessage>> TYPES = List.of(
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

    private final Map<Class<?>, Integer> numbers = new HashMap<>();
    private final List<WireFormat> bodies = new ArrayList<>();

    /** Creates a codec. */
    public PeerMessageCodec() {
        WireFormats formats = new WireFormats(Map.of(
                Work.class, List.of(Work.Generation.class, Work.ServiceCall.class),
                ClaimResult.class,
                        List.of(
                                ClaimResult.Granted.class,
                                ClaimResult.Held.class,
                                ClaimResult.Closed.class,
                                ClaimResult.KeyReused.class,
                                ClaimResult.Unavailable.class)));
        for (Class<?> type : TYPES) {
            numbers.put(type, bodies.size());
            bodies.add(formats.of(type));
        }
    }

    /** Returns the bytes of a frame. */
    public byte[] encode(PeerFrame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            int number = numbers.get(frame.message().getClass());
            packer.packArrayHeader(FRAME_SIZE);
            packer.packInt(number);
            packer.packInt(VERSION);
            packer.packString(frame.sender().value());
            packer.packLong(frame.incarnation());
            packer.packLong(frame.hybridTime());
            bodies.get(number).write(packer, frame.message());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Reads a frame.
     *
     * @return the frame, or empty if its type or version is unknown and it has to be skipped
     * @throws MalformedDataException if the bytes are no frame
     */
    public Optional<PeerFrame> decode(byte[] bytes) {
        try {
            return read(new BoundedUnpacker(bytes));
        } catch (IOException
                | MessagePackException
                | IllegalArgumentException
                | NullPointerException
                | IndexOutOfBoundsException e) {
            throw new MalformedDataException("not a peer frame; check that the peer runs a compatible release", e);
        }
    }

    private Optional<PeerFrame> read(BoundedUnpacker unpacker) throws IOException {
        int size = unpacker.arraySize();
        int type = unpacker.intValue();
        int version = unpacker.intValue();
        if (type < 0 || size < FRAME_SIZE) {
            throw new MalformedDataException("not a peer frame: type " + type + ", size " + size);
        }
        if (type >= bodies.size() || version != VERSION) {
            return Optional.empty();
        }
        HostId sender = new HostId(unpacker.text());
        long incarnation = unpacker.longValue();
        long hybridTime = unpacker.longValue();
        PeerMessage message = (PeerMessage) bodies.get(type).read(unpacker);
        if (size != FRAME_SIZE || !unpacker.atEnd()) {
            throw new MalformedDataException("a peer frame has bytes after its body");
        }
        return Optional.of(new PeerFrame(sender, incarnation, hybridTime, message));
    }
}
