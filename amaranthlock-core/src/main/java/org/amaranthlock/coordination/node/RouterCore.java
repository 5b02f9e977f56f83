package org.amaranthlock.coordination.node;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.DefaultNodeCore;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.NodeCore;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.admission.DefaultAdmissionController;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.configuration.DefaultConfiguration;
import org.amaranthlock.coordination.engineorder.EngineOrderController;
import org.amaranthlock.coordination.ledger.DefaultLedgerClient;
import org.amaranthlock.coordination.ledger.PartitionOwners;
import org.amaranthlock.coordination.membership.DefaultMembership;
import org.amaranthlock.coordination.membership.DefaultTargetDirectory;
import org.amaranthlock.coordination.membership.GossipTopic;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.coordination.membership.TargetDrainState;
import org.amaranthlock.coordination.poison.DefaultPoisonRegistry;
import org.amaranthlock.coordination.request.CheckpointReplicator;
import org.amaranthlock.coordination.request.RequestCoordinator;
import org.amaranthlock.coordination.request.RequestDependencies;
import org.amaranthlock.coordination.routing.DefaultTargetSelector;
import org.apache.commons.rng.UniformRandomProvider;

/** Decision core of one router with the product's policies. */
public final class RouterCore implements NodeCore {
    /** Weight loads per second of one engine group; keeps a restart of all engines under the weight store's rate. */
    private static final double WEIGHT_LOADS_PER_SECOND = 1;

    private final DefaultMembership membership;
    private final DefaultConfiguration configuration;
    private final NodeCore core;

    /**
     * Creates the core of a router that has just started.
     *
     * @param self this router
     * @param seeds peer addresses of routers to contact first
     * @param random seeded source of all randomness
     */
    public RouterCore(RouterMember self, List<String> seeds, UniformRandomProvider random) {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(random, "random");
        OperationNumberGenerator numbers = new OperationNumberGenerator();
        TargetDrainState targetNews =
                new TargetDrainState(() -> this.membership().liveMembers().size());
        DefaultPoisonRegistry poison = new DefaultPoisonRegistry();
        this.membership = new DefaultMembership(
                self,
                seeds,
                targetNews.topic(),
                new GossipTopic<>(poison::nextMarksToGossip, poison::merge),
                this::highestRevision,
                random,
                numbers);
        this.configuration = new DefaultConfiguration(membership, random, numbers);
        DefaultTargetDirectory directory =
                new DefaultTargetDirectory(membership, configuration, targetNews, random, numbers);
        DefaultTargetSelector selector = new DefaultTargetSelector(directory, self.region(), random);
        DefaultAdmissionController admission =
                new DefaultAdmissionController(selector, configuration, membership, random);
        DefaultLedgerClient ledger = new DefaultLedgerClient(membership, numbers);
        CheckpointReplicator keeper = new CheckpointReplicator(membership, directory, ledger, numbers);
        RequestCoordinator requests = new RequestCoordinator(new RequestDependencies(
                membership, configuration, directory, selector, admission, ledger, poison, keeper));
        // Views first, so that the requests decide on what the same event has changed; the admission last, so that it
        // sees the slots that an event has freed.
        this.core = new DefaultNodeCore(List.of(
                membership,
                configuration,
                directory,
                new TargetEventForwarder(selector),
                new PartitionOwners(membership, numbers),
                ledger,
                keeper,
                requests,
                admission,
                new EngineOrderController(membership, configuration, WEIGHT_LOADS_PER_SECOND, numbers),
                new FleetOperations(membership, directory, selector, requests, ledger)));
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        return core.handle(event, nowMillis);
    }

    /** Returns the configuration in force. */
    public ConfigurationView configuration() {
        return configuration;
    }

    /** Returns the routers. */
    public MembershipView membership() {
        return membership;
    }

    private long highestRevision() {
        return configuration.highestRevision();
    }
}
