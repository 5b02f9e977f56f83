package org.amaranthlock.coordination.node;

import java.util.List;
import org.amaranthlock.coordination.poison.PoisonRegistry;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.peer.PoisonMark;

/** Blames no request. Stands in until the registry lands. */
public final class NoBlame implements PoisonRegistry {
    @Override
    public Standing standing(RequestSpec spec, long nowMillis) {
        return Standing.CLEAN;
    }

    @Override
    public void targetDied(TargetId target, List<Running> running, long nowMillis) {}

    @Override
    public void completed(RequestSpec spec, long nowMillis) {}

    @Override
    public List<PoisonMark> marksToSpread(int limit, long nowMillis) {
        return List.of();
    }

    @Override
    public void learn(List<PoisonMark> marks, long nowMillis) {}
}
