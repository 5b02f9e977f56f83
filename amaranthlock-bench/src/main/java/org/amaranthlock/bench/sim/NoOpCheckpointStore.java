package org.amaranthlock.bench.sim;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.request.CheckpointSource;
import org.amaranthlock.coordination.request.CheckpointStore;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.CompletedResponse;

/** Checkpoint store that stores nothing, because routers do not crash in this model. */
public final class NoOpCheckpointStore implements CheckpointStore {
    @Override
    public List<Command> open(CheckpointSource source, long nowMillis) {
        return List.of();
    }

    @Override
    public List<Command> flush(CheckpointSource source, long nowMillis) {
        return List.of();
    }

    @Override
    public List<Command> replicateTokens(CheckpointSource source, long nowMillis) {
        return List.of();
    }

    @Override
    public List<Command> close(CheckpointSource source, long nowMillis) {
        return List.of();
    }

    @Override
    public List<Command> saveCompleted(CheckpointSource source, CompletedResponse response, long nowMillis) {
        return List.of();
    }

    @Override
    public void handOver(CheckpointSource source) {
        // There are no checkpoints to hand over.
    }

    @Override
    public List<Command> search(RequestSpec spec, int resumeAt, long timeoutMillis, long nowMillis) {
        return List.of(
                new Command.Raise(new RequestEvent.CheckpointSearchCompleted(spec.id(), Optional.empty(), true)));
    }
}
