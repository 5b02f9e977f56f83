package org.amaranthlock.bench.sim;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.request.CheckpointSource;
import org.amaranthlock.coordination.request.CheckpointStore;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.CompletedAnswer;

/** Keeps no checkpoints; routers do not die in this model. */
public final class NoCheckpoints implements CheckpointStore {
    @Override
    public List<Command> opened(CheckpointSource source, long nowMillis) {
        return List.of();
    }

    @Override
    public List<Command> flush(CheckpointSource source, long nowMillis) {
        return List.of();
    }

    @Override
    public List<Command> progressed(CheckpointSource source, long nowMillis) {
        return List.of();
    }

    @Override
    public List<Command> closed(CheckpointSource source, long nowMillis) {
        return List.of();
    }

    @Override
    public List<Command> completed(CheckpointSource source, CompletedAnswer answer, long nowMillis) {
        return List.of();
    }

    @Override
    public void handedOver(CheckpointSource source) {
        // Nothing is kept.
    }

    @Override
    public List<Command> search(RequestSpec spec, int resumeAt, long timeoutMillis, long nowMillis) {
        return List.of(new Command.Raise(new RequestEvent.CheckpointFound(spec.id(), Optional.empty(), true)));
    }
}
