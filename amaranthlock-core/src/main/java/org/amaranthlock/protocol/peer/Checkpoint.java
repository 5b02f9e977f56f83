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
 * State of an open request that another router needs to continue it.
 *
 * @param spec the request
 * @param owner the router that serves it
 * @param attempt the current attempt, or empty before the first dispatch
 * @param target the target of the current attempt, or empty before the first dispatch
 * @param version the model version that the response was started with, or empty if it has not started
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
        Arguments.require(
                attempt.isPresent() == target.isPresent(), "attempt and target must both be present or both be empty");
    }
}
