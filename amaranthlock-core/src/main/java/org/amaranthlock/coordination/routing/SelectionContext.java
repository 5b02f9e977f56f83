package org.amaranthlock.coordination.routing;

import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;

/**
 * Conditions of the choice of a target.
 *
 * @param excluded targets that must not be chosen
 * @param avoidedDomain failure domain to avoid if there is another
 * @param requiredVersion model version that the target must have; empty for any
 * @param resumedTokens tokens of the answer that exist already; 0 for a first attempt
 * @param exclusive whether the target should run nothing else of this router (suspected poison request)
 */
public record SelectionContext(
        Set<TargetId> excluded,
        Optional<FailureDomain> avoidedDomain,
        String requiredVersion,
        int resumedTokens,
        boolean exclusive) {
    public SelectionContext {
        excluded = Set.copyOf(excluded);
    }

    /** Returns the context of a first attempt without conditions. */
    public static SelectionContext forFirstAttempt() {
        return new SelectionContext(Set.of(), Optional.empty(), "", 0, false);
    }
}
