package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.coordination.brittle.BrittleStatement;
import org.amaranthlock.coordination.targetlimit.LimitStatement;

/**
 * What a response of a target states about the load that the target bears.
 *
 * @param limit its request rate limit
 * @param brittle how many rejections it survives
 */
public record TargetStatements(LimitStatement limit, BrittleStatement brittle) {
    /** A response that states nothing. */
    public static final TargetStatements NONE =
            new TargetStatements(new LimitStatement.NotNamed(), new BrittleStatement.NotNamed());

    public TargetStatements {
        Objects.requireNonNull(limit, "limit");
        Objects.requireNonNull(brittle, "brittle statement");
    }
}
