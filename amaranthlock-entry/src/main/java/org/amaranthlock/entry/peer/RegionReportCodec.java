package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.coordination.region.LinkRate;
import org.amaranthlock.coordination.region.RegionReport;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for the demand of a host and its traffic between regions. */
final class RegionReportCodec {
    /** Steps per request and second in which rates are packed. */
    private static final double RATE_STEPS = 16;

    private RegionReportCodec() {}

    static void pack(MessageBufferPacker packer, RegionReport report) throws IOException {
        if (report.region().isEmpty()) {
            packer.packNil();
            return;
        }
        packer.packString(report.region().get().value());
        packer.packMapHeader(report.links().size());
        for (Map.Entry<Region, LinkRate> link : report.links().entrySet()) {
            packer.packString(link.getKey().value());
            packer.packLong(link.getValue().sent());
            packer.packLong(link.getValue().received());
            packer.packLong(link.getValue().bulk());
        }
        packer.packMapHeader(report.requestRates().size());
        for (Map.Entry<ServiceName, Double> rate : report.requestRates().entrySet()) {
            packer.packString(rate.getKey().value());
            packer.packLong(Math.round(rate.getValue() * RATE_STEPS));
        }
    }

    /** Unpacks a report; earlier builds end the message before it. */
    static RegionReport unpack(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.hasNext() || unpacker.tryUnpackNil()) {
            return RegionReport.NONE;
        }
        Region region = new Region(unpacker.unpackString());
        Map<Region, LinkRate> links = new HashMap<>();
        for (int left = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackMapHeader()); left > 0; left--) {
            Region other = new Region(unpacker.unpackString());
            links.put(other, new LinkRate(unpackRate(unpacker), unpackRate(unpacker), unpackRate(unpacker)));
        }
        Map<ServiceName, Double> rates = new HashMap<>();
        for (int left = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackMapHeader()); left > 0; left--) {
            rates.put(new ServiceName(unpacker.unpackString()), unpackRate(unpacker) / RATE_STEPS);
        }
        return new RegionReport(Optional.of(region), links, rates);
    }

    private static long unpackRate(MessageUnpacker unpacker) throws IOException {
        return Math.max(0, unpacker.unpackLong());
    }
}
