package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.amaranthlock.coordination.targetlimit.KnownLimit;
import org.amaranthlock.coordination.targetlimit.LimitReport;
import org.amaranthlock.coordination.targetlimit.PermitDecision;
import org.amaranthlock.coordination.targetlimit.PermitRequest;
import org.amaranthlock.coordination.targetlimit.TargetIncarnation;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for the parts of peer messages that concern the request rate limits of targets. */
final class TargetLimitCodec {
    private TargetLimitCodec() {}

    static void packReport(MessageBufferPacker packer, LimitReport report) throws IOException {
        packer.packArrayHeader(report.limits().size());
        for (KnownLimit limit : report.limits()) {
            packLimit(packer, limit);
        }
        packer.packMapHeader(report.borrowers().size());
        for (Map.Entry<ServiceName, String> borrower : report.borrowers().entrySet()) {
            packer.packString(borrower.getKey().value());
            packer.packString(borrower.getValue());
        }
    }

    static LimitReport unpackReport(MessageUnpacker unpacker) throws IOException {
        List<KnownLimit> limits = new ArrayList<>();
        for (int remaining = entryCount(unpacker.unpackArrayHeader()); remaining > 0; remaining--) {
            limits.add(unpackLimit(unpacker));
        }
        Map<ServiceName, String> borrowers = new HashMap<>();
        for (int remaining = entryCount(unpacker.unpackMapHeader()); remaining > 0; remaining--) {
            borrowers.put(new ServiceName(unpacker.unpackString()), unpacker.unpackString());
        }
        return new LimitReport(limits, borrowers);
    }

    static void packRequest(MessageBufferPacker packer, PermitRequest request) throws IOException {
        packer.packString(request.service().value());
        packer.packArrayHeader(request.targets().size());
        for (TargetId target : request.targets()) {
            packer.packString(target.value());
        }
        packer.packBoolean(request.priority() == PermitRequest.Priority.HIGH);
    }

    static PermitRequest unpackRequest(MessageUnpacker unpacker) throws IOException {
        ServiceName service = new ServiceName(unpacker.unpackString());
        List<TargetId> targets = new ArrayList<>();
        for (int remaining = entryCount(unpacker.unpackArrayHeader()); remaining > 0; remaining--) {
            targets.add(new TargetId(unpacker.unpackString()));
        }
        boolean high = unpacker.unpackBoolean();
        return new PermitRequest(service, targets, high ? PermitRequest.Priority.HIGH : PermitRequest.Priority.LOW);
    }

    /** Packs whether the permit was granted, and its target or the retry delay. */
    static void packDecision(MessageBufferPacker packer, PermitDecision decision) throws IOException {
        switch (decision) {
            case PermitDecision.Granted granted -> {
                packer.packBoolean(true);
                packer.packString(granted.target().value());
            }
            case PermitDecision.Denied denied -> {
                packer.packBoolean(false);
                packer.packLong(denied.retryAfterMillis());
            }
        }
    }

    static PermitDecision unpackDecision(MessageUnpacker unpacker) throws IOException {
        return unpacker.unpackBoolean()
                ? new PermitDecision.Granted(new TargetId(unpacker.unpackString()))
                : new PermitDecision.Denied(unpacker.unpackLong());
    }

    private static void packLimit(MessageBufferPacker packer, KnownLimit limit) throws IOException {
        packer.packString(limit.target().id().value());
        packer.packLong(limit.target().startedAtMillis());
        packer.packString(limit.target().authority());
        packer.packString(limit.service().value());
        packer.packBoolean(limit.inForce());
        packer.packDouble(limit.requestsPerSecond().orElse(0));
        packer.packLong(limit.version());
    }

    private static KnownLimit unpackLimit(MessageUnpacker unpacker) throws IOException {
        TargetIncarnation target = new TargetIncarnation(
                new TargetId(unpacker.unpackString()), unpacker.unpackLong(), unpacker.unpackString());
        ServiceName service = new ServiceName(unpacker.unpackString());
        boolean inForce = unpacker.unpackBoolean();
        double requestsPerSecond = unpacker.unpackDouble();
        return new KnownLimit(
                target,
                service,
                inForce ? OptionalDouble.of(requestsPerSecond) : OptionalDouble.empty(),
                unpacker.unpackLong());
    }

    private static int entryCount(int entries) {
        return EntryPeerMessageCodec.checkEntryCount(entries);
    }
}
