package org.amaranthlock.coordination.targetlimit;

import java.util.List;
import java.util.Map;
import org.amaranthlock.model.ServiceName;

/**
 * What a host reports to the others about limits of targets.
 *
 * @param limits limits that it knows, also those that have ended
 * @param borrowers host to which it lends its share of the limits of a service
 */
public record LimitReport(List<KnownLimit> limits, Map<ServiceName, String> borrowers) {
    /** Report of a host that knows no limited target. */
    public static final LimitReport EMPTY = new LimitReport(List.of(), Map.of());

    public LimitReport {
        limits = List.copyOf(limits);
        borrowers = Map.copyOf(borrowers);
    }
}
