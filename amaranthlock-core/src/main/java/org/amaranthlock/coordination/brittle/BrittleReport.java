package org.amaranthlock.coordination.brittle;

import java.util.Map;
import org.amaranthlock.model.TargetId;

/**
 * What a host reports to the others about brittle targets.
 *
 * @param tolerances rejections per second that targets survive, as they stated to this host
 * @param rejections requests of this host that they rejected within the last second
 */
public record BrittleReport(Map<TargetId, Integer> tolerances, Map<TargetId, Integer> rejections) {
    /** Report of a host that knows no brittle target. */
    public static final BrittleReport EMPTY = new BrittleReport(Map.of(), Map.of());

    public BrittleReport {
        tolerances = Map.copyOf(tolerances);
        rejections = Map.copyOf(rejections);
    }
}
