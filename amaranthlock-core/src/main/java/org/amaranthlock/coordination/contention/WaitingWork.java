package org.amaranthlock.coordination.contention;

import java.util.Map;
import org.amaranthlock.model.ServiceName;

/**
 * Backlogs of a host by service, for its load report.
 *
 * @param services backlogs by service; services without any are omitted
 */
public record WaitingWork(Map<ServiceName, ServiceBacklog> services) {
    /** No backlogs; also used for hosts of earlier builds, which report none. */
    public static final WaitingWork NONE = new WaitingWork(Map.of());

    public WaitingWork {
        services = Map.copyOf(services);
    }
}
