package org.amaranthlock.coordination.routing;

import org.amaranthlock.model.ServiceName;

/** Free capacity of a service's targets as one router sees it. */
public interface CapacityView {
    /** Returns the slots of the available targets that are believed to be free, 0 or more. */
    int freeSlots(ServiceName service, long nowMillis);

    /** Returns all slots of the available targets. */
    int totalSlots(ServiceName service);
}
