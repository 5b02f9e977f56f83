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

/** {@link NodeCore} of a router, composed of all components. */
public final class RouterCore implements NodeCore {
    /**
     * Weight loads per second of one engine group, which keeps a restart of all engines within the weight store's rate.
     */
    private static final double WEIGHT_LOADS_PER_SECOND = 1;

    private final DefaultMembership membership;
    private final DefaultConfiguration configuration;
    private final NodeCore core;

    /**
     * Creates the core of a starting router.
     *
     * @param self this router
     * @param seeds peer addresses of the routers to contact first
     * @param random seeded random generator for all components
     */
    public RouterCore(RouterMember self, List<String> seeds, UniformRandomProvider random) {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(random, "random");
        OperationNumberGenerator numbers = new OperationNumberGenerator();
        TargetDrainState drainState =
                new TargetDrainState(() -> this.membership().liveMembers().size());
        DefaultPoisonRegistry poisonRegistry = new DefaultPoisonRegistry();
        this.membership = new DefaultMembership(
                self,
                seeds,
                drainState.topic(),
                new GossipTopic<>(poisonRegistry::nextMarksToGossip, poisonRegistry::merge),
                this::highestRevision,
                random,
                numbers);
        this.configuration = new DefaultConfiguration(membership, random, numbers);
        DefaultTargetDirectory directory =
                new DefaultTargetDirectory(membership, configuration, drainState, random, numbers);
        DefaultTargetSelector selector = new DefaultTargetSelector(directory, self.region(), random);
        DefaultAdmissionController admission =
                new DefaultAdmissionController(selector, configuration, membership, random);
        DefaultLedgerClient ledger = new DefaultLedgerClient(membership, numbers);
        CheckpointReplicator checkpointReplicator = new CheckpointReplicator(membership, directory, ledger, numbers);
        RequestCoordinator requests = new RequestCoordinator(new RequestDependencies(
                membership,
                configuration,
                directory,
                selector,
                admission,
                ledger,
                poisonRegistry,
                checkpointReplicator));
        // The views come first, so that requests are decided on state that includes the event. Admission comes after
        // the requests, so that it sees the slots that the event has freed.
        this.core = new DefaultNodeCore(List.of(
                membership,
                configuration,
                directory,
                new TargetEventForwarder(selector),
                new PartitionOwners(membership, numbers),
                ledger,
                checkpointReplicator,
                requests,
                admission,
                new EngineOrderController(membership, configuration, WEIGHT_LOADS_PER_SECOND, numbers),
                new RouterOperations(membership, directory, selector, requests, ledger)));
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        return core.handle(event, nowMillis);
    }

    /** Returns the current configuration. */
    public ConfigurationView configuration() {
        return configuration;
    }

    /** Returns the view of the cluster's routers. */
    public MembershipView membership() {
        return membership;
    }

    private long highestRevision() {
        return configuration.highestRevision();
    }
}
