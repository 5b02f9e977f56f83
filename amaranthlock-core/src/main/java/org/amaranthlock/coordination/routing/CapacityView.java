package org.amaranthlock.coordination.routing;

import org.amaranthlock.model.ServiceName;

/** View of the capacity of a service's targets, as seen by one router. */
public interface CapacityView {
    /**
     * Returns the number of attempts that this router may run concurrently at the available targets.
     *
     * <p>Routers that observe their shares fill the targets together without exchanging messages: each uses the
     * fraction of the slots that it had of the load in the last reports, and at least an equal fraction.
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
