package org.amaranthlock.coordination.request;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.peer.Checkpoint;

/** Open request whose state can be replicated to a backup router. */
public interface CheckpointSource {
    /** Returns the request. */
    RequestSpec spec();

    /** Returns the current state. */
    Checkpoint checkpoint();

    /** Returns whether the tokens of the request are replicated as they arrive. */
    boolean isKeptAlive();

    /** Returns the current attempt, if one is running. */
    Optional<AttemptId> attempt();

    /** Returns the target of the current attempt, if one is running. */
    Optional<Target> target();

    /** Returns a live view of the tokens received so far. */
    List<String> tokens();
}
