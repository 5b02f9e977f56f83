package org.amaranthlock.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.configuration.DefaultConfiguration;
import org.amaranthlock.coordination.membership.DefaultMembership;
import org.amaranthlock.coordination.membership.DefaultTargetDirectory;
import org.amaranthlock.coordination.membership.GossipTopic;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.coordination.membership.TargetDrainState;
import org.amaranthlock.protocol.peer.PoisonMark;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Starts simulated routers with membership, configuration and target directory. */
public final class MembershipFixture {
    private final ClusterSimulation simulation;
    private final List<SimulatedRouterProcess> allProcesses = new ArrayList<>();
    private final Map<Integer, RouterComponents> componentsByNumber = new LinkedHashMap<>();

    public MembershipFixture(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    /** Components of one simulated router. */
    public record RouterComponents(
            SimulatedRouterProcess router,
            OperationNumberGenerator numbers,
            DefaultMembership membership,
            DefaultConfiguration configuration,
            DefaultTargetDirectory directory) {}

    public RouterComponents start(int number, int incarnation) {
        RouterMember member = simulation.member(number, incarnation);
        SimulatedRouterProcess router = new SimulatedRouterProcess(simulation, member);
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(simulation.random().nextLong());
        OperationNumberGenerator numbers = new OperationNumberGenerator();
        DefaultMembership[] membership = new DefaultMembership[1];
        DefaultConfiguration[] configuration = new DefaultConfiguration[1];
        TargetDrainState drainState =
                new TargetDrainState(() -> membership[0].liveMembers().size());
        GossipTopic<PoisonMark> poison = new GossipTopic<>((limit, now) -> List.of(), (marks, now) -> {});
        List<String> seeds = List.of(
                simulation.member(0, 0).address(), simulation.member(1, 0).address());
        membership[0] = new DefaultMembership(
                member, seeds, drainState.topic(), poison, () -> configuration[0].highestRevision(), random, numbers);
        configuration[0] = new DefaultConfiguration(membership[0], random, numbers);
        DefaultTargetDirectory directory =
                new DefaultTargetDirectory(membership[0], configuration[0], drainState, random, numbers);
        RouterComponents components = new RouterComponents(
                router,
                numbers,
                router.addComponent(membership[0]),
                router.addComponent(configuration[0]),
                router.addComponent(directory));
        componentsByNumber.put(number, components);
        allProcesses.add(router);
        simulation.add(router);
        return components;
    }

    public void startAll(int count) {
        for (int number = 0; number < count; number++) {
            start(number, 0);
        }
    }

    public RouterComponents components(int number) {
        return componentsByNumber.get(number);
    }

    /** Returns all routers, including those that have ended. */
    public List<SimulatedRouterProcess> allRouters() {
        return List.copyOf(allProcesses);
    }

    public List<RouterComponents> runningComponents() {
        List<RouterComponents> result = new ArrayList<>(componentsByNumber.values());
        result.removeIf(components -> !components.router().running());
        return result;
    }
}
