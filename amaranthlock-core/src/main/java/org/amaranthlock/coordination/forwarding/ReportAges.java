package org.amaranthlock.coordination.forwarding;

import java.util.Map;
import org.amaranthlock.model.TargetId;

/**
 * Ages of the load reports on which the load of targets rests.
 *
 * @param hosts number of other hosts whose reports are known
 * @param newestMillis age of the newest report, in milliseconds; 0 if there is none
 * @param oldestMillis age of the oldest report, in milliseconds; 0 if there is none
 * @param oldestByTarget age of the oldest report that names a target, in milliseconds
 */
public record ReportAges(int hosts, long newestMillis, long oldestMillis, Map<TargetId, Long> oldestByTarget) {
    /** Ages if no other host reports. */
    public static final ReportAges NONE = new ReportAges(0, 0, 0, Map.of());

    public ReportAges {
        oldestByTarget = Map.copyOf(oldestByTarget);
    }
}
