package org.amaranthlock.coordination.request;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;

/**
 * State machine of one request that this router serves.
 *
 * <p>All methods add the resulting commands to {@code out}.
 */
sealed interface OpenRequest extends CheckpointSource permits GenerationRequest, ServiceRequest, AtMostOnceRequest {
    /** Starts a new request: admission, then the first dispatch. */
    void start(long now, List<Command> out);

    /** Dispatches a queued request that was admitted. */
    void onAdmissionGranted(long now, List<Command> out);

    /** Handles an event of one of its attempts, current or former. */
    void onAttemptEvent(RequestEvent.AttemptEvent event, long now, List<Command> out);

    /** Checks deadlines and timeouts. */
    void onTick(long now, List<Command> out);

    /** Handles the loss of the client's connection. */
    void onClientDisconnected(long now, List<Command> out);

    /** Refuses a queued request that can no longer finish before its deadline. */
    void onQueueTimeout(long now, List<Command> out);

    /** Stops serving the request without a record, because another router serves it now. */
    void onTakenOver(long now, List<Command> out);

    /** Returns the state that all kinds of requests share. */
    RequestLifecycle lifecycle();

    @Override
    default RequestSpec spec() {
        return lifecycle().spec();
    }

    /** Returns the id under which the client is connected, if it is. */
    default Optional<RequestId> connection() {
        return lifecycle().connection();
    }

    /** Returns whether this router has finished with the request and can remove it. */
    default boolean closed() {
        return lifecycle().closed();
    }
}
