package org.amaranthlock.coordination.request;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.peer.Checkpoint;

/** An open request whose state can be kept at another router. */
public interface CheckpointSource {
    /** Returns the request. */
    RequestSpec spec();

    /** Returns the present state. */
    Checkpoint checkpoint();

    /** Tells whether its tokens are worth sending as they arrive. */
    boolean isKeptAlive();

    /** Returns the present attempt, if one runs. */
    Optional<AttemptId> attempt();

    /** Returns the target of the present attempt, if one runs. */
    Optional<Target> target();

    /** Returns the tokens received so far; a view that grows. */
    List<String> tokens();
}
