package org.amaranthlock.bench.scenario;

import java.util.List;
import org.amaranthlock.bench.policy.Policy;
import org.amaranthlock.bench.sim.NoOpCheckpointStore;
import org.amaranthlock.coordination.DefaultNodeCore;
import org.amaranthlock.coordination.NodeCore;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.ledger.LedgerClient;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.node.TargetEventForwarder;
import org.amaranthlock.coordination.poison.DefaultPoisonRegistry;
import org.amaranthlock.coordination.request.RequestCoordinator;
import org.amaranthlock.coordination.request.RequestDependencies;
import org.amaranthlock.state.TargetDirectory;

/** Creates the decision core of a simulated router: the product's request handling with the policy under test. */
final class SimulatedCoreFactory {
    private SimulatedCoreFactory() {}

    static NodeCore create(
            Policy.Components components,
            TargetDirectory directory,
            ConfigurationView configuration,
            MembershipView membership,
            LedgerClient ledger) {
        RequestCoordinator requests = new RequestCoordinator(new RequestDependencies(
                membership,
                configuration,
                directory,
                components.selector(),
                components.admission(),
                ledger,
                new DefaultPoisonRegistry(),
                new NoOpCheckpointStore()));
        return new DefaultNodeCore(
                List.of(new TargetEventForwarder(components.selector()), ledger, requests, components.admission()));
    }
}
