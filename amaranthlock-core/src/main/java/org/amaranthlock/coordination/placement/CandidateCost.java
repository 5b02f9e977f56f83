package org.amaranthlock.coordination.placement;

import java.util.List;
import java.util.Objects;

/**
 * Cost of a candidate as the sum of named terms.
 *
 * @param load the candidate and its load
 * @param terms parts of the cost, in the unit of the policy
 * @param total sum of the terms
 */
public record CandidateCost(CandidateLoad load, List<CostTerm> terms, double total) {
    public CandidateCost {
        Objects.requireNonNull(load, "load");
        terms = List.copyOf(terms);
    }

    /** Returns the cost that consists of the given terms. */
    public static CandidateCost of(CandidateLoad load, List<CostTerm> terms) {
        double total = 0;
        for (CostTerm term : terms) {
            total += term.value();
        }
        return new CandidateCost(load, terms, total);
    }
}
