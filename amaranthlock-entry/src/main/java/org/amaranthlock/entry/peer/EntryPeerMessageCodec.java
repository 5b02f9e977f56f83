package org.amaranthlock.entry.peer;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StoredObject;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** MessagePack format of {@link EntryPeerMessage}: version, number of the type, and the fields of the type in order. */
final class EntryPeerMessageCodec {
    private static final int VERSION = 5;
    private static final int NEWS = 1;
    private static final int CONFIGURATION_QUESTION = 2;
    private static final int TARGETS_QUESTION = 3;
    private static final int CONFIGURATION_CONFIRMED = 4;
    private static final int TARGETS_CHANGED = 5;
    private static final int NOT_KNOWN = 6;
    private static final int MAX_ENTRIES = 10_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private EntryPeerMessageCodec() {}

    static byte[] encode(EntryPeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(VERSION);
            switch (message) {
                case EntryPeerMessage.News told -> packNews(packer, told.report());
                case EntryPeerMessage.ConfigurationQuery asked ->
                    pack(packer, CONFIGURATION_QUESTION, asked.id(), asked.revision());
                case EntryPeerMessage.TargetsQuery asked ->
                    pack(packer, TARGETS_QUESTION, asked.id(), asked.revision());
                case EntryPeerMessage.ConfigurationConfirmed confirmed ->
                    pack(packer, CONFIGURATION_CONFIRMED, confirmed.id(), confirmed.ageMillis());
                case EntryPeerMessage.TargetsChanged changed -> packChanges(packer, changed);
                case EntryPeerMessage.NotKnown unknown -> pack(packer, NOT_KNOWN, unknown.id());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @throws IllegalArgumentException if the frame has another form
     */
    static EntryPeerMessage decode(byte[] frame) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            if (unpacker.unpackInt() != VERSION) {
                throw new IllegalArgumentException("message of another version");
            }
            int type = unpacker.unpackInt();
            return switch (type) {
                case NEWS -> new EntryPeerMessage.News(news(unpacker));
                case CONFIGURATION_QUESTION ->
                    new EntryPeerMessage.ConfigurationQuery(unpacker.unpackLong(), unpacker.unpackLong());
                case TARGETS_QUESTION ->
                    new EntryPeerMessage.TargetsQuery(unpacker.unpackLong(), unpacker.unpackLong());
                case CONFIGURATION_CONFIRMED ->
                    new EntryPeerMessage.ConfigurationConfirmed(unpacker.unpackLong(), unpacker.unpackLong());
                case TARGETS_CHANGED -> changes(unpacker);
                case NOT_KNOWN -> new EntryPeerMessage.NotKnown(unpacker.unpackLong());
                default -> throw new IllegalArgumentException("message of unknown type " + type);
            };
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("message that cannot be read: " + e.getMessage(), e);
        }
    }

    private static void pack(MessageBufferPacker packer, int type, long... fields) throws IOException {
        packer.packInt(type);
        for (long field : fields) {
            packer.packLong(field);
        }
    }

    private static void packNews(MessageBufferPacker packer, HostLoadReport news) throws IOException {
        pack(packer, NEWS);
        packer.packString(news.host());
        packer.packMapHeader(news.inFlight().size());
        for (Map.Entry<TargetId, InFlightLoad> engine : news.inFlight().entrySet()) {
            packer.packString(engine.getKey().value());
            packer.packInt(engine.getValue().prefilling());
            packer.packInt(engine.getValue().generating());
            packer.packInt(engine.getValue().copies());
            packer.packLong(engine.getValue().tokens());
        }
        packer.packArrayHeader(news.unreachable().size());
        for (TargetId engine : news.unreachable()) {
            packer.packString(engine.value());
        }
        packer.packMapHeader(news.crashes().size());
        for (Map.Entry<Long, Integer> crash : news.crashes().entrySet()) {
            packer.packLong(crash.getKey());
            packer.packInt(crash.getValue());
        }
        packer.packInt(news.retries());
    }

    private static HostLoadReport news(MessageUnpacker unpacker) throws IOException {
        String host = unpacker.unpackString();
        Map<TargetId, InFlightLoad> inFlight = new HashMap<>();
        for (int left = checked(unpacker.unpackMapHeader()); left > 0; left--) {
            TargetId id = new TargetId(unpacker.unpackString());
            inFlight.put(id, work(unpacker));
        }
        Set<TargetId> unreachable = new HashSet<>();
        for (int left = checked(unpacker.unpackArrayHeader()); left > 0; left--) {
            unreachable.add(new TargetId(unpacker.unpackString()));
        }
        Map<Long, Integer> crashes = new HashMap<>();
        for (int left = checked(unpacker.unpackMapHeader()); left > 0; left--) {
            crashes.put(unpacker.unpackLong(), unpacker.unpackInt());
        }
        return new HostLoadReport(host, inFlight, unreachable, crashes, unpacker.unpackInt());
    }

    private static InFlightLoad work(MessageUnpacker unpacker) throws IOException {
        return new InFlightLoad(
                unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong());
    }

    private static void packChanges(MessageBufferPacker packer, EntryPeerMessage.TargetsChanged changed)
            throws IOException {
        pack(packer, TARGETS_CHANGED, changed.id(), changed.revision());
        packer.packArrayHeader(changed.changes().size());
        for (StoreChange change : changed.changes()) {
            packer.packString(change.object().name());
            packer.packLong(change.object().revision());
            packer.packString(change.object().spec().toString());
            packer.packBoolean(change.removed());
        }
    }

    private static EntryPeerMessage.TargetsChanged changes(MessageUnpacker unpacker) throws IOException {
        long id = unpacker.unpackLong();
        long revision = unpacker.unpackLong();
        List<StoreChange> changes = new ArrayList<>();
        for (int left = checked(unpacker.unpackArrayHeader()); left > 0; left--) {
            String name = unpacker.unpackString();
            long changedAt = unpacker.unpackLong();
            StoredObject object = new StoredObject(name, changedAt, JSON.readTree(unpacker.unpackString()));
            changes.add(new StoreChange(object, unpacker.unpackBoolean()));
        }
        return new EntryPeerMessage.TargetsChanged(id, revision, changes);
    }

    private static int checked(int entries) {
        if (entries > MAX_ENTRIES) {
            throw new IllegalArgumentException("message of " + entries + " entries");
        }
        return entries;
    }
}
