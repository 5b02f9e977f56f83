package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.coordination.contention.Backlog;
import org.amaranthlock.coordination.contention.ServiceBacklog;
import org.amaranthlock.coordination.contention.WaitingWork;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ServiceName;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for the backlogs of a host. */
final class WaitingWorkCodec {
    private WaitingWorkCodec() {}

    static void pack(MessageBufferPacker packer, WaitingWork work) throws IOException {
        packer.packMapHeader(work.services().size());
        for (Map.Entry<ServiceName, ServiceBacklog> service : work.services().entrySet()) {
            packer.packString(service.getKey().value());
            packer.packArrayHeader(service.getValue().waiting().size());
            for (Backlog backlog : service.getValue().waiting()) {
                packer.packInt(backlog.priority());
                packer.packString(backlog.account().value());
                packer.packInt(backlog.requests());
                packer.packLong(backlog.prefillMillis());
                packer.packLong(backlog.leastSlackMillis());
            }
            packer.packMapHeader(service.getValue().startedMillis().size());
            for (Map.Entry<AccountId, Long> started :
                    service.getValue().startedMillis().entrySet()) {
                packer.packString(started.getKey().value());
                packer.packLong(started.getValue());
            }
        }
    }

    static WaitingWork unpack(MessageUnpacker unpacker) throws IOException {
        Map<ServiceName, ServiceBacklog> services = new HashMap<>();
        for (int left = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackMapHeader()); left > 0; left--) {
            services.put(new ServiceName(unpacker.unpackString()), unpackService(unpacker));
        }
        return new WaitingWork(services);
    }

    private static ServiceBacklog unpackService(MessageUnpacker unpacker) throws IOException {
        List<Backlog> waiting = new ArrayList<>();
        for (int left = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader()); left > 0; left--) {
            waiting.add(new Backlog(
                    unpacker.unpackInt(),
                    new AccountId(unpacker.unpackString()),
                    unpacker.unpackInt(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong()));
        }
        Map<AccountId, Long> started = new HashMap<>();
        for (int left = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackMapHeader()); left > 0; left--) {
            started.put(new AccountId(unpacker.unpackString()), unpacker.unpackLong());
        }
        return new ServiceBacklog(waiting, started);
    }
}
