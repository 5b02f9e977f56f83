package org.amaranthlock.coordination.placement;

import org.amaranthlock.model.Arguments;

/**
 * One part of the cost of a candidate.
 *
 * @param name stable name for operators, in lower case with hyphens
 * @param value cost, in the unit of the policy; negative for an advantage
 */
public record CostTerm(String name, double value) {
    public CostTerm {
        Arguments.requireText(name, "name");
    }
}
