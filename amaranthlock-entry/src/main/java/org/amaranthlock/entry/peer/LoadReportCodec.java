package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.brittle.BrittleReport;
import org.amaranthlock.coordination.estimate.TargetSpeed;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.coordination.loadreport.ReportVersion;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for load reports, alone and in bundles. */
final class LoadReportCodec {
    /** Steps per unit in which speeds are packed. */
    private static final double SPEED_STEPS = 16;

    private LoadReportCodec() {}

    static void packMessage(MessageBufferPacker packer, EntryPeerMessage.LoadReport message) throws IOException {
        packReport(packer, message.report());
        packer.packInt(message.messageLevel());
        ReportVersion version = message.version().orElse(ReportVersion.UNKNOWN);
        packVersion(packer, version);
        packer.packBoolean(message.passOn());
        packSpeeds(packer, message.report().speeds());
        WaitingWorkCodec.pack(packer, message.report().waiting());
        RegionReportCodec.pack(packer, message.report().region());
    }

    /** Unpacks a report; the first builds end the message before the level, later ones before the waiting work. */
    static EntryPeerMessage.LoadReport unpackMessage(MessageUnpacker unpacker) throws IOException {
        HostLoadReport report = unpackReport(unpacker);
        int level = unpacker.hasNext() ? unpacker.unpackInt() : MessageLevel.FIRST;
        if (!unpacker.hasNext()) {
            return new EntryPeerMessage.LoadReport(report, level, Optional.empty(), false);
        }
        Optional<ReportVersion> version =
                Optional.of(unpackVersion(unpacker)).filter(known -> !known.equals(ReportVersion.UNKNOWN));
        boolean passOn = unpacker.unpackBoolean();
        HostLoadReport complete = report.withSpeeds(unpackSpeeds(unpacker));
        if (unpacker.hasNext()) {
            complete = complete.withWaiting(WaitingWorkCodec.unpack(unpacker));
        }
        complete = complete.withRegion(RegionReportCodec.unpack(unpacker));
        return new EntryPeerMessage.LoadReport(complete, level, version, passOn);
    }

    static void packBundle(MessageBufferPacker packer, EntryPeerMessage.ReportBundle bundle) throws IOException {
        packer.packBoolean(bundle.passOn());
        packer.packArrayHeader(bundle.reports().size());
        for (EntryPeerMessage.AgedReport aged : bundle.reports()) {
            packReport(packer, aged.report());
            packVersion(packer, aged.version());
            packer.packLong(aged.ageMillis());
        }
        for (EntryPeerMessage.AgedReport aged : bundle.reports()) {
            packSpeeds(packer, aged.report().speeds());
        }
        for (EntryPeerMessage.AgedReport aged : bundle.reports()) {
            WaitingWorkCodec.pack(packer, aged.report().waiting());
        }
        for (EntryPeerMessage.AgedReport aged : bundle.reports()) {
            RegionReportCodec.pack(packer, aged.report().region());
        }
    }

    static EntryPeerMessage.ReportBundle unpackBundle(MessageUnpacker unpacker) throws IOException {
        boolean passOn = unpacker.unpackBoolean();
        List<EntryPeerMessage.AgedReport> reports = new ArrayList<>();
        int count = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader());
        for (int remaining = count; remaining > 0; remaining--) {
            reports.add(new EntryPeerMessage.AgedReport(
                    unpackReport(unpacker), unpackVersion(unpacker), unpacker.unpackLong()));
        }
        for (int i = 0; i < count; i++) {
            EntryPeerMessage.AgedReport aged = reports.get(i);
            reports.set(
                    i,
                    new EntryPeerMessage.AgedReport(
                            aged.report().withSpeeds(unpackSpeeds(unpacker)), aged.version(), aged.ageMillis()));
        }
        if (unpacker.hasNext()) { // earlier builds end the message here
            for (int i = 0; i < reports.size(); i++) {
                EntryPeerMessage.AgedReport aged = reports.get(i);
                HostLoadReport complete = aged.report().withWaiting(WaitingWorkCodec.unpack(unpacker));
                reports.set(i, new EntryPeerMessage.AgedReport(complete, aged.version(), aged.ageMillis()));
            }
        }
        for (int i = 0; i < reports.size(); i++) {
            EntryPeerMessage.AgedReport aged = reports.get(i);
            HostLoadReport complete = aged.report().withRegion(RegionReportCodec.unpack(unpacker));
            reports.set(i, new EntryPeerMessage.AgedReport(complete, aged.version(), aged.ageMillis()));
        }
        return new EntryPeerMessage.ReportBundle(reports, passOn);
    }

    private static void packVersion(MessageBufferPacker packer, ReportVersion version) throws IOException {
        packer.packLong(version.run());
        packer.packLong(version.sequence());
    }

    private static ReportVersion unpackVersion(MessageUnpacker unpacker) throws IOException {
        return new ReportVersion(unpacker.unpackLong(), unpacker.unpackLong());
    }

    private static void packReport(MessageBufferPacker packer, HostLoadReport report) throws IOException {
        packer.packString(report.host());
        packer.packMapHeader(report.inFlight().size());
        for (Map.Entry<TargetId, InFlightLoad> engine : report.inFlight().entrySet()) {
            packer.packString(engine.getKey().value());
            packer.packInt(engine.getValue().prefilling());
            packer.packInt(engine.getValue().generating());
            packer.packInt(engine.getValue().backups());
            packer.packLong(engine.getValue().tokens());
        }
        packer.packArrayHeader(report.unreachable().size());
        for (TargetId engine : report.unreachable()) {
            packer.packString(engine.value());
        }
        packer.packMapHeader(report.crashes().size());
        for (Map.Entry<Long, Integer> crash : report.crashes().entrySet()) {
            packer.packLong(crash.getKey());
            packer.packInt(crash.getValue());
        }
        packer.packInt(report.retries());
        packer.packArrayHeader(report.cutServices().size());
        for (ServiceName service : report.cutServices()) {
            packer.packString(service.value());
        }
        packCounts(packer, report.brittle().tolerances());
        packCounts(packer, report.brittle().rejections());
        TargetLimitCodec.packReport(packer, report.limits());
    }

    private static HostLoadReport unpackReport(MessageUnpacker unpacker) throws IOException {
        String host = unpacker.unpackString();
        Map<TargetId, InFlightLoad> inFlight = new HashMap<>();
        for (int remaining = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackMapHeader());
                remaining > 0;
                remaining--) {
            TargetId id = new TargetId(unpacker.unpackString());
            inFlight.put(id, unpackLoad(unpacker));
        }
        Set<TargetId> unreachable = new HashSet<>();
        for (int remaining = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader());
                remaining > 0;
                remaining--) {
            unreachable.add(new TargetId(unpacker.unpackString()));
        }
        Map<Long, Integer> crashes = new HashMap<>();
        for (int remaining = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackMapHeader());
                remaining > 0;
                remaining--) {
            crashes.put(unpacker.unpackLong(), unpacker.unpackInt());
        }
        int retries = unpacker.unpackInt();
        Set<ServiceName> cutServices = new HashSet<>();
        for (int remaining = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader());
                remaining > 0;
                remaining--) {
            cutServices.add(new ServiceName(unpacker.unpackString()));
        }
        BrittleReport brittle = new BrittleReport(unpackCounts(unpacker), unpackCounts(unpacker));
        return new HostLoadReport(
                host,
                inFlight,
                unreachable,
                crashes,
                retries,
                cutServices,
                brittle,
                TargetLimitCodec.unpackReport(unpacker));
    }

    private static void packCounts(MessageBufferPacker packer, Map<TargetId, Integer> counts) throws IOException {
        packer.packMapHeader(counts.size());
        for (Map.Entry<TargetId, Integer> count : counts.entrySet()) {
            packer.packString(count.getKey().value());
            packer.packInt(count.getValue());
        }
    }

    private static Map<TargetId, Integer> unpackCounts(MessageUnpacker unpacker) throws IOException {
        Map<TargetId, Integer> counts = new HashMap<>();
        for (int remaining = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackMapHeader());
                remaining > 0;
                remaining--) {
            counts.put(new TargetId(unpacker.unpackString()), unpacker.unpackInt());
        }
        return counts;
    }

    private static InFlightLoad unpackLoad(MessageUnpacker unpacker) throws IOException {
        return new InFlightLoad(
                unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong());
    }

    private static void packSpeeds(MessageBufferPacker packer, Map<TargetId, TargetSpeed> speeds) throws IOException {
        packer.packMapHeader(speeds.size());
        for (Map.Entry<TargetId, TargetSpeed> speed : speeds.entrySet()) {
            packer.packString(speed.getKey().value());
            packer.packLong(Math.round(speed.getValue().ratio() * SPEED_STEPS));
            packer.packLong(Math.round(speed.getValue().answers() * SPEED_STEPS));
        }
    }

    /** Unpacks the speeds of targets; earlier builds end the message before them. */
    private static Map<TargetId, TargetSpeed> unpackSpeeds(MessageUnpacker unpacker) throws IOException {
        Map<TargetId, TargetSpeed> speeds = new HashMap<>();
        int count = unpacker.hasNext() ? EntryPeerMessageCodec.checkEntryCount(unpacker.unpackMapHeader()) : 0;
        for (int remaining = count; remaining > 0; remaining--) {
            TargetId id = new TargetId(unpacker.unpackString());
            double ratio = Math.max(1, unpacker.unpackLong()) / SPEED_STEPS;
            speeds.put(id, new TargetSpeed(ratio, Math.max(0, unpacker.unpackLong()) / SPEED_STEPS));
        }
        return speeds;
    }
}
