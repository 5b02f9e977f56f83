package org.amaranthlock.entry.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.amaranthlock.coordination.streamversion.StreamKey;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoredObject;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Codec for {@link EntryPeerMessage} in MessagePack: format version, message type, then the fields in order.
 *
 * <p>Hosts of different builds run side by side while a fleet is upgraded. All builds since 5ad7ba2 work together: a
 * field is only ever appended to a message and has a default, a new type of message has a {@link MessageLevel}, and the
 * format version stays the same.
 */
final class EntryPeerMessageCodec {
    /** Format of all builds since 5ad7ba2; another one means that the fields of older messages have changed. */
    private static final int FORMAT_VERSION = 7;

    private static final int LOAD_REPORT = 1;
    private static final int CONFIGURATION_QUERY = 2;
    private static final int TARGETS_QUERY = 3;
    private static final int CONFIGURATION_CONFIRMED = 4;
    private static final int TARGETS_CHANGED = 5;
    private static final int NOT_KNOWN = 6;
    private static final int PERMIT_QUERY = 7;
    private static final int PERMIT_DECIDED = 8;
    private static final int RELAY_REQUEST = 9;
    private static final int RELAY_CANCEL = 10;
    private static final int RELAY_ANSWERED = 11;
    private static final int RELAY_REJECTED = 12;
    private static final int RELAY_STREAM_OPENED = 13;
    private static final int RELAY_EVENTS = 14;
    private static final int RELAY_STREAM_ENDED = 15;
    private static final int RELAY_ABORTED = 16;
    private static final int CONFIGURATION_ANNOUNCED = 17;
    private static final int PROMPT_PARTS = 18;
    private static final int STREAMS_BEGUN = 19;
    private static final int STREAM_VERSION_QUERY = 20;
    private static final int STREAM_VERSION_ANSWERED = 21;
    private static final int MESSAGE_LEVEL_TOLD = 22;
    private static final int STREAMS_QUERY = 23;
    private static final int STREAMS_TOLD = 24;
    private static final int REPORT_BUNDLE = 25;
    private static final int LINK_CHECK = 26;
    private static final int LINK_CHECKED = 27;
    private static final int ROLLOUT_GRANTED = 28;
    private static final int ROLLOUT_SEEN = 29;
    private static final int ROLLOUT_ORDERS_TOLD = 30;
    private static final int START_QUERY = 31;
    private static final int START_STATE = 32;
    private static final int RESERVATION_QUERY = 33;
    private static final int ENGINE_RESERVED = 34;
    private static final int CONFIGURATION_FETCH = 35;
    private static final int CONFIGURATION_FETCHED = 36;
    private static final int MAX_ENTRIES = 10_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private EntryPeerMessageCodec() {}

    static byte[] encode(EntryPeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT_VERSION);
            switch (message) {
                case EntryPeerMessage.LoadReport loadReport ->
                    LoadReportCodec.packMessage(pack(packer, LOAD_REPORT), loadReport);
                case EntryPeerMessage.ReportBundle bundle ->
                    LoadReportCodec.packBundle(pack(packer, REPORT_BUNDLE), bundle);
                case EntryPeerMessage.LinkCheck check -> pack(packer, LINK_CHECK, check.id());
                case EntryPeerMessage.LinkChecked checked -> pack(packer, LINK_CHECKED, checked.id());
                case EntryPeerMessage.ConfigurationQuery query -> packConfigurationQuery(packer, query);
                case EntryPeerMessage.PromptParts parts ->
                    PromptPartCodec.packReport(pack(packer, PROMPT_PARTS), parts.report());
                case EntryPeerMessage.ConfigurationAnnounced announced ->
                    pack(packer, CONFIGURATION_ANNOUNCED, announced.version());
                case EntryPeerMessage.TargetsQuery query -> packTargetsQuery(packer, query);
                case EntryPeerMessage.ConfigurationConfirmed confirmed ->
                    pack(packer, CONFIGURATION_CONFIRMED, confirmed.id(), confirmed.readAfterMillis());
                case EntryPeerMessage.TargetsChanged changed -> packChanges(packer, changed);
                case EntryPeerMessage.PermitQuery query ->
                    TargetLimitCodec.packRequest(pack(packer, PERMIT_QUERY, query.id()), query.request());
                case EntryPeerMessage.PermitDecided decided ->
                    TargetLimitCodec.packDecision(pack(packer, PERMIT_DECIDED, decided.id()), decided.decision());
                case EntryPeerMessage.RelayRequest request -> packRelayRequest(packer, request);
                case EntryPeerMessage.StreamsBegun begun ->
                    StreamVersionCodec.packStreams(pack(packer, STREAMS_BEGUN), begun.streams());
                case EntryPeerMessage.StreamsQuery query ->
                    pack(packer, STREAMS_QUERY, query.id()).packString(query.host());
                case EntryPeerMessage.StreamsTold told ->
                    StreamVersionCodec.packStreams(pack(packer, STREAMS_TOLD, told.id()), told.streams());
                case EntryPeerMessage.StartQuery query ->
                    pack(packer, START_QUERY, query.id()).packBoolean(query.mayWait());
                case EntryPeerMessage.StartState state ->
                    StartStateCodec.packState(pack(packer, START_STATE, state.id()), state);
                case EntryPeerMessage.ConfigurationFetch fetch ->
                    pack(packer, CONFIGURATION_FETCH, fetch.id(), fetch.version());
                case EntryPeerMessage.ConfigurationFetched fetched ->
                    ConfigurationFetchCodec.pack(pack(packer, CONFIGURATION_FETCHED, fetched.id()), fetched);
                case EntryPeerMessage.StreamVersionQuery query -> packStreamVersionQuery(packer, query);
                case EntryPeerMessage.StreamVersionAnswered answered ->
                    StreamVersionCodec.packVersion(
                            pack(packer, STREAM_VERSION_ANSWERED, answered.id()), answered.version());
                case EntryPeerMessage.RolloutGranted granted ->
                    RolloutMessageCodec.packGrant(pack(packer, ROLLOUT_GRANTED), granted.grant());
                case EntryPeerMessage.RolloutSeen seen ->
                    RolloutMessageCodec.packEvidence(pack(packer, ROLLOUT_SEEN), seen.evidence());
                case EntryPeerMessage.RolloutOrdersTold told ->
                    RolloutMessageCodec.packOrders(pack(packer, ROLLOUT_ORDERS_TOLD), told);
                case EntryPeerMessage.ReservationQuery query ->
                    ReservationCodec.packQuery(pack(packer, RESERVATION_QUERY, query.id()), query);
                case EntryPeerMessage.EngineReserved reserved ->
                    pack(packer, ENGINE_RESERVED, reserved.id())
                            .packString(reserved.target().value());
                case EntryPeerMessage.RelayCancel cancel -> pack(packer, RELAY_CANCEL, cancel.id());
                case EntryPeerMessage.RelayResponse response -> packRelayResponse(packer, response);
                case EntryPeerMessage.MessageLevelTold told ->
                    pack(packer, MESSAGE_LEVEL_TOLD, told.id(), told.messageLevel());
                case EntryPeerMessage.NotKnown notKnown -> pack(packer, NOT_KNOWN, notKnown.id());
                case EntryPeerMessage.Unsupported unsupported ->
                    throw new IllegalArgumentException("message type " + unsupported.type() + " is not supported");
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a frame. One of a later format counts as {@link EntryPeerMessage.Unsupported}, so that the connection stays
     * open for the messages that both hosts know. Fields of an earlier format have another meaning, and its hosts can
     * read nothing of this one.
     *
     * @throws IllegalArgumentException if the frame is malformed or has an earlier format
     */
    static EntryPeerMessage decode(byte[] frame) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            int format = unpacker.unpackInt();
            checkFormat(format);
            int type = unpacker.unpackInt();
            if (format > FORMAT_VERSION) {
                return new EntryPeerMessage.Unsupported(type);
            }
            return switch (type) {
                case LOAD_REPORT -> LoadReportCodec.unpackMessage(unpacker);
                case REPORT_BUNDLE -> LoadReportCodec.unpackBundle(unpacker);
                case LINK_CHECK -> new EntryPeerMessage.LinkCheck(unpacker.unpackLong());
                case LINK_CHECKED -> new EntryPeerMessage.LinkChecked(unpacker.unpackLong());
                case CONFIGURATION_QUERY -> unpackConfigurationQuery(unpacker);
                case PROMPT_PARTS -> new EntryPeerMessage.PromptParts(PromptPartCodec.unpackReport(unpacker));
                case CONFIGURATION_ANNOUNCED -> new EntryPeerMessage.ConfigurationAnnounced(unpacker.unpackLong());
                case TARGETS_QUERY -> unpackTargetsQuery(unpacker);
                case CONFIGURATION_CONFIRMED ->
                    new EntryPeerMessage.ConfigurationConfirmed(unpacker.unpackLong(), unpacker.unpackLong());
                case TARGETS_CHANGED -> unpackTargetsChanged(unpacker);
                case PERMIT_QUERY ->
                    new EntryPeerMessage.PermitQuery(unpacker.unpackLong(), TargetLimitCodec.unpackRequest(unpacker));
                case PERMIT_DECIDED ->
                    new EntryPeerMessage.PermitDecided(
                            unpacker.unpackLong(), TargetLimitCodec.unpackDecision(unpacker));
                case RELAY_REQUEST -> unpackRelayRequest(unpacker);
                case STREAMS_BEGUN -> new EntryPeerMessage.StreamsBegun(StreamVersionCodec.unpackStreams(unpacker));
                case STREAMS_QUERY -> new EntryPeerMessage.StreamsQuery(unpacker.unpackLong(), unpacker.unpackString());
                case STREAMS_TOLD ->
                    new EntryPeerMessage.StreamsTold(unpacker.unpackLong(), StreamVersionCodec.unpackStreams(unpacker));
                case START_QUERY -> new EntryPeerMessage.StartQuery(unpacker.unpackLong(), unpacker.unpackBoolean());
                case START_STATE -> StartStateCodec.unpackState(unpacker);
                case CONFIGURATION_FETCH ->
                    new EntryPeerMessage.ConfigurationFetch(unpacker.unpackLong(), unpacker.unpackLong());
                case CONFIGURATION_FETCHED -> ConfigurationFetchCodec.unpack(unpacker);
                case STREAM_VERSION_QUERY ->
                    new EntryPeerMessage.StreamVersionQuery(
                            unpacker.unpackLong(), new StreamKey(unpacker.unpackLong()));
                case STREAM_VERSION_ANSWERED ->
                    new EntryPeerMessage.StreamVersionAnswered(
                            unpacker.unpackLong(), StreamVersionCodec.unpackVersion(unpacker));
                case RELAY_CANCEL -> new EntryPeerMessage.RelayCancel(unpacker.unpackLong());
                case RELAY_ANSWERED ->
                    new EntryPeerMessage.RelayAnswered(unpacker.unpackLong(), RelayCodec.unpackResponse(unpacker));
                case RELAY_REJECTED ->
                    new EntryPeerMessage.RelayRejected(
                            unpacker.unpackLong(), RelayCodec.unpackRejection(unpacker), unpacker.unpackBoolean());
                case RELAY_STREAM_OPENED ->
                    new EntryPeerMessage.RelayStreamOpened(
                            unpacker.unpackLong(),
                            RelayCodec.unpackResponse(unpacker),
                            StreamVersionCodec.unpackVersion(unpacker));
                case RELAY_EVENTS ->
                    new EntryPeerMessage.RelayEvents(unpacker.unpackLong(), RelayCodec.unpackBytes(unpacker));
                case RELAY_STREAM_ENDED -> new EntryPeerMessage.RelayStreamEnded(unpacker.unpackLong());
                case RELAY_ABORTED -> new EntryPeerMessage.RelayAborted(unpacker.unpackLong());
                case MESSAGE_LEVEL_TOLD ->
                    new EntryPeerMessage.MessageLevelTold(unpacker.unpackLong(), unpacker.unpackInt());
                case NOT_KNOWN -> new EntryPeerMessage.NotKnown(unpacker.unpackLong());
                default -> unpackLater(type, unpacker);
            };
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("malformed message: " + e.getMessage(), e);
        }
    }

    private static void packConfigurationQuery(MessageBufferPacker packer, EntryPeerMessage.ConfigurationQuery query)
            throws IOException {
        pack(packer, CONFIGURATION_QUERY, query.id(), query.version().revision());
        if (query.version().contentHash().isPresent()) {
            packer.packLong(query.version().contentHash().getAsLong());
        }
    }

    /** Unpacks a query; hosts of builds that compare revisions only end it before the hash. */
    private static EntryPeerMessage.ConfigurationQuery unpackConfigurationQuery(MessageUnpacker unpacker)
            throws IOException {
        long id = unpacker.unpackLong();
        long revision = unpacker.unpackLong();
        OptionalLong contentHash = unpacker.hasNext() ? OptionalLong.of(unpacker.unpackLong()) : OptionalLong.empty();
        return new EntryPeerMessage.ConfigurationQuery(id, new ObjectVersion(revision, contentHash));
    }

    private static void packTargetsQuery(MessageBufferPacker packer, EntryPeerMessage.TargetsQuery query)
            throws IOException {
        StorePosition position = query.position();
        pack(packer, TARGETS_QUERY, query.id(), position.revision(), position.era());
    }

    private static EntryPeerMessage.TargetsQuery unpackTargetsQuery(MessageUnpacker unpacker) throws IOException {
        long id = unpacker.unpackLong();
        long revision = unpacker.unpackLong();
        return new EntryPeerMessage.TargetsQuery(id, new StorePosition(unpackEra(unpacker), revision));
    }

    private static void packStreamVersionQuery(MessageBufferPacker packer, EntryPeerMessage.StreamVersionQuery query)
            throws IOException {
        pack(packer, STREAM_VERSION_QUERY, query.id(), query.stream().value());
    }

    private static void packRelayRequest(MessageBufferPacker packer, EntryPeerMessage.RelayRequest request)
            throws IOException {
        pack(packer, RELAY_REQUEST, request.id(), request.configurationVersion(), request.executionsLeft());
        RelayCodec.packRequest(packer, request.request());
        StreamVersionCodec.packVersion(packer, request.streamVersion());
    }

    private static EntryPeerMessage.RelayRequest unpackRelayRequest(MessageUnpacker unpacker) throws IOException {
        return new EntryPeerMessage.RelayRequest(
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                RelayCodec.unpackRequest(unpacker),
                StreamVersionCodec.unpackVersion(unpacker));
    }

    private static void checkFormat(int format) {
        if (format < FORMAT_VERSION) {
            throw new IllegalArgumentException("message format " + format + " is not supported; replace its sender"
                    + " by a build with format " + FORMAT_VERSION);
        }
    }

    /** Decodes messages on roll-outs and reservations; a type that this build does not know becomes {@code Unsupported}. */
    private static EntryPeerMessage unpackLater(int type, MessageUnpacker unpacker) throws IOException {
        return switch (type) {
            case ROLLOUT_GRANTED -> new EntryPeerMessage.RolloutGranted(RolloutMessageCodec.unpackGrant(unpacker));
            case ROLLOUT_SEEN -> new EntryPeerMessage.RolloutSeen(RolloutMessageCodec.unpackEvidence(unpacker));
            case ROLLOUT_ORDERS_TOLD -> RolloutMessageCodec.unpackOrders(unpacker);
            case RESERVATION_QUERY -> ReservationCodec.unpackQuery(unpacker);
            case ENGINE_RESERVED -> ReservationCodec.unpackReserved(unpacker);
            default -> new EntryPeerMessage.Unsupported(type);
        };
    }

    private static void packRelayResponse(MessageBufferPacker packer, EntryPeerMessage.RelayResponse response)
            throws IOException {
        switch (response) {
            case EntryPeerMessage.RelayAnswered answered ->
                RelayCodec.packResponse(pack(packer, RELAY_ANSWERED, answered.id()), answered.response());
            case EntryPeerMessage.RelayRejected rejected -> {
                pack(packer, RELAY_REJECTED, rejected.id());
                RelayCodec.packRejection(packer, rejected.rejection());
                packer.packBoolean(rejected.anotherHost());
            }
            case EntryPeerMessage.RelayStreamOpened opened -> {
                pack(packer, RELAY_STREAM_OPENED, opened.id());
                RelayCodec.packResponse(packer, opened.head());
                StreamVersionCodec.packVersion(packer, opened.version());
            }
            case EntryPeerMessage.RelayEvents events ->
                RelayCodec.packBytes(pack(packer, RELAY_EVENTS, events.id()), events.events());
            case EntryPeerMessage.RelayStreamEnded ended -> pack(packer, RELAY_STREAM_ENDED, ended.id());
            case EntryPeerMessage.RelayAborted aborted -> pack(packer, RELAY_ABORTED, aborted.id());
        }
    }

    private static MessageBufferPacker pack(MessageBufferPacker packer, int type, long... fields) throws IOException {
        packer.packInt(type);
        for (long field : fields) {
            packer.packLong(field);
        }
        return packer;
    }

    private static void packChanges(MessageBufferPacker packer, EntryPeerMessage.TargetsChanged changed)
            throws IOException {
        pack(packer, TARGETS_CHANGED, changed.id(), changed.position().revision());
        packer.packArrayHeader(changed.changes().size());
        for (StoreChange change : changed.changes()) {
            packObject(packer, change.object());
            packer.packBoolean(change.removed());
        }
        packer.packLong(changed.position().era());
    }

    private static EntryPeerMessage.TargetsChanged unpackTargetsChanged(MessageUnpacker unpacker) throws IOException {
        long id = unpacker.unpackLong();
        long revision = unpacker.unpackLong();
        List<StoreChange> changes = new ArrayList<>();
        for (int remaining = checkEntryCount(unpacker.unpackArrayHeader()); remaining > 0; remaining--) {
            StoredObject object = unpackObject(unpacker);
            changes.add(new StoreChange(object, unpacker.unpackBoolean()));
        }
        return new EntryPeerMessage.TargetsChanged(id, new StorePosition(unpackEra(unpacker), revision), changes);
    }

    /** Unpacks the era of a position; hosts of builds without eras end the message before it. */
    static long unpackEra(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext() ? unpacker.unpackLong() : StorePosition.UNKNOWN_ERA;
    }

    static void packObject(MessagePacker packer, StoredObject object) throws IOException {
        packer.packString(object.name());
        packer.packLong(object.revision());
        packer.packString(object.spec().toString());
    }

    static StoredObject unpackObject(MessageUnpacker unpacker) throws IOException {
        return new StoredObject(unpacker.unpackString(), unpacker.unpackLong(), unpackContent(unpacker));
    }

    /** Unpacks the content of an object; one that cannot be decoded is missing, as if this host had read it itself. */
    private static JsonNode unpackContent(MessageUnpacker unpacker) throws IOException {
        String content = unpacker.unpackString();
        try {
            return JSON.readTree(content);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance(); // decoders of objects report what is missing
        }
    }

    static int checkEntryCount(int entries) {
        if (entries > MAX_ENTRIES) {
            throw new IllegalArgumentException("message has " + entries + " entries, limit is " + MAX_ENTRIES);
        }
        return entries;
    }
}
