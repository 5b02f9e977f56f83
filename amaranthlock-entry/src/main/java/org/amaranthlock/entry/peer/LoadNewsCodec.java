package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import org.amaranthlock.coordination.forwarding.LoadNews;
import org.amaranthlock.model.TargetId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** MessagePack format of {@link LoadNews}: an array of version, host and a map from engine to requests in flight. */
final class LoadNewsCodec {
    private static final int VERSION = 1;
    private static final int MAX_ENGINES = 10_000;

    private LoadNewsCodec() {}

    static byte[] encode(LoadNews news) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(3);
            packer.packInt(VERSION);
            packer.packString(news.host());
            packer.packMapHeader(news.inFlight().size());
            for (Map.Entry<TargetId, Integer> engine : news.inFlight().entrySet()) {
                packer.packString(engine.getKey().value());
                packer.packInt(engine.getValue());
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
    static LoadNews decode(byte[] frame) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            if (unpacker.unpackArrayHeader() != 3 || unpacker.unpackInt() != VERSION) {
                throw new IllegalArgumentException("load news of another version");
            }
            String host = unpacker.unpackString();
            int engines = unpacker.unpackMapHeader();
            if (engines > MAX_ENGINES) {
                throw new IllegalArgumentException("load news of " + engines + " engines");
            }
            Map<TargetId, Integer> inFlight = new HashMap<>();
            for (int i = 0; i < engines; i++) {
                inFlight.put(new TargetId(unpacker.unpackString()), unpacker.unpackInt());
            }
            return new LoadNews(host, inFlight);
        } catch (IOException | org.msgpack.core.MessagePackException e) {
            throw new IllegalArgumentException("load news that cannot be read: " + e.getMessage(), e);
        }
    }
}
