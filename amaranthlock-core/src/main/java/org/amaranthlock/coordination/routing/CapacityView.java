package org.amaranthlock.coordination.routing;

import org.amaranthlock.model.ServiceName;

/** Free capacity of a service's targets as one router sees it. */
public interface CapacityView {
    /**
     * Returns the attempts that this router may run at the available targets at the same time.
     *
     * <p>All routers that keep to their share together fill the targets, without a message between them: each takes the
     * part of the slots that it had of the load in the last reports, and at least an equal part.
     *
     * @param sharingRouters routers that use the targets, this one included
     */
    double slotShare(ServiceName service, double sharingRouters, long nowMillis);

    /** Returns this router's attempts at the available targets. */
    int localAttempts(ServiceName service);

    /** Returns the available targets. */
    int targetCount(ServiceName service);

    /** Returns all slots of the available targets. */
    int totalSlots(ServiceName service);
}
