package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.model.Arguments;

/**
 * Copy of the KV cache of a stream from which the stream can be resumed.
 *
 * @param engine engine that keeps the copy
 * @param source address (IP:PORT) under which the copy is registered: that of the engine that keeps it, or that of the
 *     stream's engine if the latter was asked to make the copy
 * @param id id of the copy at that address
 */
public record KvCacheCopy(EntryTarget engine, String source, String id) {
    public KvCacheCopy {
        Objects.requireNonNull(engine, "engine");
        Arguments.requireText(source, "source");
        Arguments.requireText(id, "id");
    }
}
