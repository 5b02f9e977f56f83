package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.coordination.streamversion.StreamKey;
import org.amaranthlock.model.SoftwareVersion;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for the parts of peer messages that concern the software versions of event streams. */
final class StreamVersionCodec {
    private StreamVersionCodec() {}

    /** Packs a version, or nil for none. */
    static void packVersion(MessageBufferPacker packer, Optional<SoftwareVersion> version) throws IOException {
        if (version.isPresent()) {
            packer.packString(version.get().value());
        } else {
            packer.packNil();
        }
    }

    /** Unpacks a version; hosts before {@link MessageLevel#STREAM_VERSIONS} end the message before it. */
    static Optional<SoftwareVersion> unpackVersion(MessageUnpacker unpacker) throws IOException {
        return !unpacker.hasNext() || unpacker.tryUnpackNil()
                ? Optional.empty()
                : Optional.of(new SoftwareVersion(unpacker.unpackString()));
    }

    static void packStreams(MessageBufferPacker packer, Map<SoftwareVersion, List<StreamKey>> streams)
            throws IOException {
        packer.packMapHeader(streams.size());
        for (Map.Entry<SoftwareVersion, List<StreamKey>> version : streams.entrySet()) {
            packer.packString(version.getKey().value());
            packer.packArrayHeader(version.getValue().size());
            for (StreamKey stream : version.getValue()) {
                packer.packLong(stream.value());
            }
        }
    }

    static Map<SoftwareVersion, List<StreamKey>> unpackStreams(MessageUnpacker unpacker) throws IOException {
        Map<SoftwareVersion, List<StreamKey>> streams = new HashMap<>();
        for (int versions = entryCount(unpacker.unpackMapHeader()); versions > 0; versions--) {
            SoftwareVersion version = new SoftwareVersion(unpacker.unpackString());
            List<StreamKey> begun = new ArrayList<>();
            for (int remaining = entryCount(unpacker.unpackArrayHeader()); remaining > 0; remaining--) {
                begun.add(new StreamKey(unpacker.unpackLong()));
            }
            streams.put(version, begun);
        }
        return streams;
    }

    private static int entryCount(int entries) {
        return EntryPeerMessageCodec.checkEntryCount(entries);
    }
}
