package org.amaranthlock.coordination.request;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;

/** State machine of one request that this router serves; commands are added to {@code out}. */
sealed interface OpenRequest extends CheckpointSource permits GenerationRequest, ServiceRequest, AtMostOnceRequest {
    /** Begins a new request: admission, then the first dispatch. */
    void start(long now, List<Command> out);

    /** Starts a queued request. */
    void onAdmissionGranted(long now, List<Command> out);

    /** Reacts to an event of one of its attempts, present or past. */
    void onAttemptEvent(RequestEvent.AttemptEvent event, long now, List<Command> out);

    /** Checks deadlines and waits. */
    void onTick(long now, List<Command> out);

    /** Reacts to the loss of the caller's connection. */
    void onClientDisconnected(long now, List<Command> out);

    /** Refuses a queued request that can't finish before its deadline any more. */
    void onQueueTimeout(long now, List<Command> out);

    /** Stops serving the request without a record, because another router serves it now. */
    void onTakenOver(long now, List<Command> out);

    /** Returns what the request has in common with other kinds. */
    RequestLifecycle lifecycle();

    @Override
    default RequestSpec spec() {
        return lifecycle().spec();
    }

    /** Returns the id under which the caller is connected, if it is. */
    default Optional<RequestId> connection() {
        return lifecycle().connection();
    }

    /** Tells whether the request is over for this router and can be forgotten. */
    default boolean closed() {
        return lifecycle().closed();
    }
}
