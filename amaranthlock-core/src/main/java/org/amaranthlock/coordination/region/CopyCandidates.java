package org.amaranthlock.coordination.region;

import java.util.List;
import java.util.function.Predicate;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.model.FailureDomain;

/**
 * Chooses the engines to which a KV cache may be copied without crossing a link between regions.
 *
 * <p>Load pattern: copies of long prompts exceed what a link between regions carries, and domains fail one after the
 * other.
 */
public final class CopyCandidates {
    /**
     * Minimum number of other domains in the stream's region without failing targets, so that the loss of one does not
     * take all copies.
     */
    private static final int MIN_DOMAINS = 2;

    private CopyCandidates() {}

    /**
     * Returns the engines in the region of the stream's engine if they protect the stream as well as all engines do;
     * otherwise all.
     *
     * @param engines available engines in other domains than the stream's
     * @param primary domain of the stream's engine
     * @param failing matches domains in which targets fail
     */
    public static List<EntryTarget> preferred(
            List<EntryTarget> engines, FailureDomain primary, RegionMap regions, Predicate<FailureDomain> failing) {
        List<EntryTarget> near = engines.stream()
                .filter(engine -> !regions.differs(primary, engine.failureDomain()))
                .toList();
        long soundDomains = near.stream()
                .map(EntryTarget::failureDomain)
                .distinct()
                .filter(failing.negate())
                .count();
        return soundDomains >= MIN_DOMAINS ? near : engines;
    }
}
