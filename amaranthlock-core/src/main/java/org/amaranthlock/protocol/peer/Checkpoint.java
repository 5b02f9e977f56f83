package org.amaranthlock.protocol.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.TargetId;

/**
 * State of an open request that another router needs to carry on.
 *
 * @param spec the request
 * @param owner the router that serves it
 * @param attempt the present attempt, or empty before the first dispatch
 * @param target where the present attempt runs
 * @param version the model version that the answer was begun with, empty if none yet
 * @param tokens the tokens received so far, from position 0
 */
public record Checkpoint(
        RequestSpec spec,
        HostId owner,
        Optional<AttemptId> attempt,
        Optional<TargetId> target,
        String version,
        List<String> tokens) {
    public Checkpoint {
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(version, "version");
        tokens = List.copyOf(tokens);
        Arguments.require(attempt.isPresent() == target.isPresent(), "attempt and target belong together");
    }
}
