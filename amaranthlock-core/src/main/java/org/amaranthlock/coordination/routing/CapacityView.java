package org.amaranthlock.coordination.routing;

import org.amaranthlock.model.ServiceName;

/** Capacity of the targets of a service, as seen by one router. */
public interface CapacityView {
    /**
     * Returns the number of attempts that this router may run concurrently at the available targets.
     *
     * <p>The result is this router's fraction of the load in the targets' last reports, applied to the capacity of all
     * targets, but at least an equal part. Routers that stay within this limit fill the targets together without
     * exchanging messages. It may exceed the number of slots, because a few attempts are in transit.
     *
     * @param sharingRouters expected number of routers that use the targets, including this one
     */
    double slotShare(ServiceName service, double sharingRouters, long nowMillis);

    /** Returns the number of this router's attempts at the available targets. */
    int localAttempts(ServiceName service);

    /** Returns the number of available targets. */
    int targetCount(ServiceName service);

    /** Returns the total number of slots of the available targets. */
    int totalSlots(ServiceName service);
}
