package org.amaranthlock.coordination.request;

import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.CompletedResponse;

/** Keeps the state of this router's open requests at other routers and finds that of others. */
public interface CheckpointStore {
    /** Begins to keep a request's state at its keeper; the open notice is sent at once. */
    List<Command> open(CheckpointSource source, long nowMillis);

    /** Sends the whole present state of a request to its keeper at once. */
    List<Command> flush(CheckpointSource source, long nowMillis);

    /**
     * Sends the tokens that a request has received since the last time.
     *
     * <p>To be called before the tokens are delivered to the caller: a caller must not hold a token that dies with this
     * router and its target, since another attempt could continue the answer differently.
     */
    List<Command> replicateTokens(CheckpointSource source, long nowMillis);

    /** Ends the keeping of a request that is closed. */
    List<Command> close(CheckpointSource source, long nowMillis);

    /** Keeps the answer of a completed request for a while, here and at its keeper, for a caller that lost its end. */
    List<Command> saveCompleted(CheckpointSource source, CompletedResponse answer, long nowMillis);

    /** Ends the keeping of a request that another router carries on; its checkpoint stays with the keeper. */
    void handOver(CheckpointSource source);

    /**
     * Looks for the state of a request that other routers hold;
     * {@link org.amaranthlock.coordination.RequestEvent.CheckpointFound}, or
     * {@link org.amaranthlock.coordination.RequestEvent.CompletedResponseFound} if it is complete, brings the answer under the id
     * of the request given here. A live owner has stopped serving the request when its state is found.
     *
     * @param resumeAt position of the first token that the caller lacks
     * @param timeoutMillis time for all answers, in milliseconds
     */
    List<Command> search(RequestSpec spec, int resumeAt, long timeoutMillis, long nowMillis);
}
