package org.amaranthlock.coordination.forwarding;

import org.amaranthlock.coordination.contention.AdmissionVerdict;
import org.amaranthlock.coordination.contention.WaitingRequest;

/** Stream that may wait in {@link StreamQueues}. */
interface QueuedStream {
    /** Returns the id that the client chose. */
    String id();

    /** Returns the properties that determine its place in the queue. */
    WaitingRequest request();

    /** Called when the stream has been removed from the queue and is to be sent now. */
    void onStart(long nowMillis);

    /** Called when the stream has been removed from the queue and is to be rejected. */
    void onTurnedAway(AdmissionVerdict.TurnAway verdict, long nowMillis);
}
