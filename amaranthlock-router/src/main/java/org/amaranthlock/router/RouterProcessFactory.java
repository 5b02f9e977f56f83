package org.amaranthlock.router;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.coordination.node.RouterCore;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.HybridClock;
import org.amaranthlock.protocol.ObjectApiValueCodec;
import org.amaranthlock.protocol.PeerMessageCodec;
import org.amaranthlock.router.settings.RouterSettings;
import org.amaranthlock.transport.EventSink;
import org.amaranthlock.transport.objectapi.HttpObjectApiTransport;
import org.amaranthlock.transport.peer.NettyPeerTransport;
import org.amaranthlock.transport.target.HttpTargetTransport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Factory for router processes, parameterized with the decision core and the transports.
 *
 * @param coreFactory creates the decision core
 * @param transportsFactory creates the transports
 */
public record RouterProcessFactory(CoreFactory coreFactory, TransportsFactory transportsFactory) {
    public RouterProcessFactory {
        Objects.requireNonNull(coreFactory, "coreFactory");
        Objects.requireNonNull(transportsFactory, "transportsFactory");
    }

    /** Returns the factory that the daemon uses. */
    public static RouterProcessFactory standard() {
        return new RouterProcessFactory(RouterProcessFactory::createCore, RouterProcessFactory::createTransports);
    }

    /**
     * Creates a process without starting it.
     *
     * @param settings settings of the process
     * @param onFailure terminates the process after an unexpected exception on the control thread
     */
    public RouterProcess createProcess(RouterSettings settings, Runnable onFailure) {
        return new RouterProcess(settings, this, onFailure);
    }

    private static CoreComponents createCore(
            HostId self, RouterSettings settings, String peerAddress, long startMillis) {
        RouterMember member = new RouterMember(
                self,
                settings.peer().advertised().orElse(peerAddress),
                settings.host().region(),
                settings.host().failureDomain());
        List<String> seeds = settings.peer().seeds().stream()
                .map(RouterSettings.Seed::address)
                .toList();
        RouterCore core = new RouterCore(member, seeds, random(settings, startMillis));
        return new CoreComponents(
                core, core.configuration(), () -> core.membership().isLeaving());
    }

    private static UniformRandomProvider random(RouterSettings settings, long startMillis) {
        // Routers that start in the same millisecond must not make the same choices, so the name is part of the seed.
        long defaultSeed = startMillis * 31 + settings.host().name().hashCode();
        return RandomSource.XO_RO_SHI_RO_128_PP.create(settings.randomSeed().orElse(defaultSeed));
    }

    private static Transports createTransports(
            HostId self, RouterSettings settings, EventSink events, HybridClock clock) {
        byte[] clusterKey = settings.peer().clusterKey().getBytes(StandardCharsets.UTF_8);
        return new Transports(
                new HttpObjectApiTransport(hostAndPort(settings.platformAddress()), events, new ObjectApiValueCodec()),
                new HttpTargetTransport(events),
                new NettyPeerTransport(
                        self,
                        hostAndPort(settings.peer().address()),
                        clusterKey,
                        events,
                        clock,
                        new PeerMessageCodec()));
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
