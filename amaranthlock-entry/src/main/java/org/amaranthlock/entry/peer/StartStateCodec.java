package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.promptpart.PromptPartReport;
import org.amaranthlock.entry.peer.EntryPeerMessage.KnownObjects;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoredObject;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for the state that a starting host receives from another one. */
final class StartStateCodec {
    private StartStateCodec() {}

    static void packState(MessagePacker packer, EntryPeerMessage.StartState state) throws IOException {
        packObjects(packer, state.configuration());
        packObjects(packer, state.targets());
        packer.packBoolean(state.verdicts().isPresent());
        if (state.verdicts().isPresent()) {
            PromptPartCodec.packReport(packer, state.verdicts().get());
        }
        packer.packLong(era(state.configuration()));
        packer.packLong(era(state.targets()));
    }

    private static long era(Optional<KnownObjects> known) {
        return known.map(present -> present.position().era()).orElse(StorePosition.UNKNOWN_ERA);
    }

    static EntryPeerMessage.StartState unpackState(MessageUnpacker unpacker) throws IOException {
        long id = unpacker.unpackLong();
        Optional<KnownObjects> configuration = unpackObjects(unpacker);
        Optional<KnownObjects> targets = unpackObjects(unpacker);
        Optional<PromptPartReport> verdicts =
                unpacker.unpackBoolean() ? Optional.of(PromptPartCodec.unpackReport(unpacker)) : Optional.empty();
        long configurationEra = EntryPeerMessageCodec.unpackEra(unpacker);
        long targetsEra = EntryPeerMessageCodec.unpackEra(unpacker);
        return new EntryPeerMessage.StartState(
                id, inEra(configuration, configurationEra), inEra(targets, targetsEra), verdicts);
    }

    /** Returns objects with the era of their position, which follows all objects in the message. */
    private static Optional<KnownObjects> inEra(Optional<KnownObjects> known, long era) {
        return known.map(present -> new KnownObjects(
                present.objects(), new StorePosition(era, present.position().revision()), present.readAfterMillis()));
    }

    private static void packObjects(MessagePacker packer, Optional<KnownObjects> known) throws IOException {
        packer.packBoolean(known.isPresent());
        if (known.isPresent()) {
            packer.packLong(known.get().position().revision());
            packer.packLong(known.get().readAfterMillis());
            packer.packArrayHeader(known.get().objects().size());
            for (StoredObject object : known.get().objects()) {
                EntryPeerMessageCodec.packObject(packer, object);
            }
        }
    }

    private static Optional<KnownObjects> unpackObjects(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.unpackBoolean()) {
            return Optional.empty();
        }
        long revision = unpacker.unpackLong();
        long readAfterMillis = unpacker.unpackLong();
        List<StoredObject> objects = new ArrayList<>();
        for (int remaining = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader());
                remaining > 0;
                remaining--) {
            objects.add(EntryPeerMessageCodec.unpackObject(unpacker));
        }
        StorePosition position = new StorePosition(StorePosition.UNKNOWN_ERA, revision);
        return Optional.of(new KnownObjects(objects, position, readAfterMillis));
    }
}
