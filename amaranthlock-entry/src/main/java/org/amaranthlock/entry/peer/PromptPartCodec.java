package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthlock.coordination.promptpart.PartEvidence;
import org.amaranthlock.coordination.promptpart.PromptPartReport;
import org.amaranthlock.model.PromptPartId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for reports on prompt parts within messages between entry hosts. */
final class PromptPartCodec {
    /** Age that stands for an event that never happened. */
    private static final long NEVER = -1;

    private PromptPartCodec() {}

    static void packReport(MessagePacker packer, PromptPartReport report) throws IOException {
        packer.packString(report.host());
        packer.packArrayHeader(report.evidence().size());
        for (PartEvidence evidence : report.evidence()) {
            packer.packString(evidence.part().value());
            packer.packInt(evidence.crashes());
            packParts(packer, evidence.companions());
            packer.packLong(evidence.crashAgeMillis().orElse(NEVER));
            packer.packLong(evidence.begunAgeMillis().orElse(NEVER));
        }
        packParts(packer, report.claimed());
        packParts(packer, report.tried());
    }

    static PromptPartReport unpackReport(MessageUnpacker unpacker) throws IOException {
        String host = unpacker.unpackString();
        List<PartEvidence> evidence = new ArrayList<>();
        for (int remaining = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader());
                remaining > 0;
                remaining--) {
            evidence.add(new PartEvidence(
                    new PromptPartId(unpacker.unpackString()),
                    unpacker.unpackInt(),
                    unpackParts(unpacker),
                    age(unpacker.unpackLong()),
                    age(unpacker.unpackLong())));
        }
        return new PromptPartReport(host, evidence, unpackParts(unpacker), unpackParts(unpacker));
    }

    private static OptionalLong age(long millis) {
        return millis < 0 ? OptionalLong.empty() : OptionalLong.of(millis);
    }

    private static void packParts(MessagePacker packer, Set<PromptPartId> parts) throws IOException {
        packer.packArrayHeader(parts.size());
        for (PromptPartId part : parts) {
            packer.packString(part.value());
        }
    }

    private static Set<PromptPartId> unpackParts(MessageUnpacker unpacker) throws IOException {
        Set<PromptPartId> parts = new HashSet<>();
        for (int remaining = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader());
                remaining > 0;
                remaining--) {
            parts.add(new PromptPartId(unpacker.unpackString()));
        }
        return parts;
    }
}
