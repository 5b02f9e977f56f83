package org.amaranthlock.coordination.request;

import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.CompletedResponse;

/** Replicates the state of this router's open requests to backup routers and finds the state of other requests. */
public interface CheckpointStore {
    /** Starts replicating a request to its backup router; the first checkpoint is sent at once. */
    List<Command> open(CheckpointSource source, long nowMillis);

    /** Sends the complete current state of a request to its backup router at once. */
    List<Command> flush(CheckpointSource source, long nowMillis);

    /**
     * Sends the tokens that a request has received since the last call.
     *
     * <p>Must be called before the tokens are delivered to the client: a client must not hold a token that is lost with
     * this router and its target, since another attempt could continue the response differently.
     */
    List<Command> replicateTokens(CheckpointSource source, long nowMillis);

    /** Stops replicating a closed request. */
    List<Command> close(CheckpointSource source, long nowMillis);

    /** Caches the response of a completed request here and at its backup router, for a client that lost its end. */
    List<Command> saveCompleted(CheckpointSource source, CompletedResponse response, long nowMillis);

    /** Stops replicating a request that another router continues; its checkpoint stays at the backup router. */
    void handOver(CheckpointSource source);

    /**
     * Searches for the state of a request that other routers hold.
     *
     * <p>The result is raised under the id of the given request: as
     * {@link org.amaranthlock.coordination.RequestEvent.CompletedResponseFound} if the request is completed, otherwise
     * as {@link org.amaranthlock.coordination.RequestEvent.CheckpointSearchCompleted}. A live owner has stopped serving
     * the request when its state is found.
     *
     * @param resumeAt position of the first token that the client lacks
     * @param timeoutMillis time for the replies of all routers, in milliseconds
     */
    List<Command> search(RequestSpec spec, int resumeAt, long timeoutMillis, long nowMillis);
}
