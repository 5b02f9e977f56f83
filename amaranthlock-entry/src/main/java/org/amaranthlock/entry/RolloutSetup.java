package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.forwarding.Mechanism;
import org.amaranthlock.coordination.rollout.ExposureBounds;
import org.amaranthlock.coordination.rollout.RolloutGate;
import org.amaranthlock.entry.control.PeerLinks;
import org.amaranthlock.entry.control.RolloutService;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.PeerConnections;
import org.amaranthlock.entry.settings.EntrySettings;
import org.amaranthlock.platform.ConditionalPlatformStore;
import org.apache.commons.rng.UniformRandomProvider;

/** Creates the components of roll-outs, which are used if the settings say what a bad version may cost. */
final class RolloutSetup {
    private RolloutSetup() {}

    static RolloutGate createGate(EntrySettings settings, UniformRandomProvider random) {
        return exposureBounds(settings).isPresent()
                ? new RolloutGate(settings.hostName(), random.nextLong(), random::nextDouble)
                : RolloutGate.disabled();
    }

    static Optional<RolloutService> createService(
            EntrySettings settings,
            ConditionalPlatformStore store,
            EventLoop controlLoop,
            EventLoop trafficLoop,
            PeerConnections connections,
            RolloutGate gate,
            DecisionLog log,
            EntryMetrics metrics) {
        return exposureBounds(settings)
                .map(bounds -> new RolloutService(
                        settings.hostName(),
                        store,
                        controlLoop,
                        trafficLoop,
                        PeerLinks.toFleet(connections),
                        PeerLinks.toDomain(connections, settings.failureDomain()),
                        gate,
                        bounds,
                        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                        log,
                        metrics));
    }

    private static Optional<ExposureBounds> exposureBounds(EntrySettings settings) {
        return settings.bounds().exposure().filter(_ -> settings.mechanisms().uses(Mechanism.ROLLOUTS));
    }
}
