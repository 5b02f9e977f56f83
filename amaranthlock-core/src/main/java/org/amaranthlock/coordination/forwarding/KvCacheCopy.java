package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.model.Arguments;

/**
 * Copy of a run's memory from which the run can go on.
 *
 * @param engine engine that keeps the copy
 * @param source address (IP:PORT) under which the copy is known: the holder's, or for a copy that the engine of the run
 *     was asked to make, that engine's
 * @param id id of the copy there
 */
public record KvCacheCopy(EntryTarget engine, String source, String id) {
    /** Checks that nothing is missing. */
    public KvCacheCopy {
        Objects.requireNonNull(engine, "holder");
        Arguments.requireText(source, "source");
        Arguments.requireText(id, "id");
    }
}
