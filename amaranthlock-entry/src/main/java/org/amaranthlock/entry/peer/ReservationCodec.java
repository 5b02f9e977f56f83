package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.coordination.reservation.ReservationRequest;
import org.amaranthlock.model.TargetId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for the messages on reservations of engines, without their types. */
final class ReservationCodec {
    private ReservationCodec() {}

    static void packQuery(MessageBufferPacker packer, EntryPeerMessage.ReservationQuery query) throws IOException {
        packer.packString(query.host());
        packer.packLong(query.request().promptMillis());
        packer.packArrayHeader(query.request().candidates().size());
        for (ReservationRequest.Candidate candidate : query.request().candidates()) {
            packer.packString(candidate.target().value());
            packer.packLong(candidate.costMillis());
        }
    }

    static EntryPeerMessage.ReservationQuery unpackQuery(MessageUnpacker unpacker) throws IOException {
        long id = unpacker.unpackLong();
        String host = unpacker.unpackString();
        long promptMillis = unpacker.unpackLong();
        List<ReservationRequest.Candidate> candidates = new ArrayList<>();
        for (int left = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader()); left > 0; left--) {
            TargetId target = new TargetId(unpacker.unpackString());
            candidates.add(new ReservationRequest.Candidate(target, unpacker.unpackLong()));
        }
        return new EntryPeerMessage.ReservationQuery(id, host, new ReservationRequest(promptMillis, candidates));
    }

    static EntryPeerMessage.EngineReserved unpackReserved(MessageUnpacker unpacker) throws IOException {
        return new EntryPeerMessage.EngineReserved(unpacker.unpackLong(), new TargetId(unpacker.unpackString()));
    }
}
