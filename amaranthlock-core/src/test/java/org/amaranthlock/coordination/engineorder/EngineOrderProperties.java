package org.amaranthlock.coordination.engineorder;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.TargetCommand.SendOrder;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.coordination.configuration.AccountSettings;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.configuration.ServiceSettings;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.coordination.membership.SettableMembershipView;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.simulation.ClusterSimulation;
import org.amaranthlock.simulation.SimulatedRouterProcess;

class EngineOrderProperties {
    private static final int TARGETS = 12;
    private static final double LOADS_PER_SECOND = 0.5;
    private static final long ORDER_TIMEOUT_MILLIS = 2_000;

    /** Step of a scenario with two routers. */
    enum Step {
        NEW_VERSION,
        ONLY_FIRST_LIVE,
        ONLY_SECOND_LIVE,
        BOTH_LIVE,
        PAUSE,
        OUTAGE,
        RECOVERY,
        WAIT
    }

    /**
     * Guards against two routers that send orders to one engine group at the same time, and against decreasing fencing
     * numbers.
     */
    @Property(seed = "51", tries = 200)
    void ordersOfTwoLeaseHoldersNeverOverlapOrExceedTheLoadRate(
            @ForAll long seed, @ForAll boolean fencing, @ForAll @Size(min = 4, max = 15) List<Step> steps) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        simulation.platform().setFaults(0.2, 0);
        SettableConfiguration configuration = new SettableConfiguration(fencing);
        List<SentOrder> sentOrders = new ArrayList<>();
        Router first = new Router(simulation, configuration, 0, sentOrders);
        Router second = new Router(simulation, configuration, 1, sentOrders);
        setLiveRouters(first, second, true, true);
        for (Step step : steps) {
            switch (step) {
                case NEW_VERSION -> configuration.version++;
                case ONLY_FIRST_LIVE -> setLiveRouters(first, second, true, false);
                case ONLY_SECOND_LIVE -> setLiveRouters(first, second, false, true);
                case BOTH_LIVE -> setLiveRouters(first, second, true, true);
                case PAUSE -> {
                    Router paused = simulation.random().nextBoolean() ? first : second;
                    if (!paused.process.paused()) {
                        paused.process.pause(simulation.random().nextLong(20_000));
                    }
                }
                case OUTAGE -> simulation.platform().setDown(true);
                case RECOVERY -> simulation.platform().setDown(false);
                default -> simulation.advance(10_000);
            }
            configuration.refresh();
            simulation.advance(simulation.random().nextLong(6_000));
        }

        assertNoOverlap(sentOrders);
        if (!sentOrders.isEmpty()) {
            double seconds =
                    (sentOrders.getLast().atMillis() - sentOrders.getFirst().atMillis()) / 1_000.0;
            // A burst of 3: two loads in a full token bucket and one that is already reserved.
            assertThat((double) sentOrders.size()).isAtMost(3 + seconds * LOADS_PER_SECOND);
        }
    }

    private static void assertNoOverlap(List<SentOrder> sentOrders) {
        for (int i = 1; i < sentOrders.size(); i++) {
            SentOrder before = sentOrders.get(i - 1);
            SentOrder after = sentOrders.get(i);
            assertThat(after.order().fence()).isAtLeast(before.order().fence());
            if (!before.router().equals(after.router())) {
                assertThat(after.order().fence()).isGreaterThan(before.order().fence());
                assertWithMessage("%s then %s", before, after)
                        .that(after.atMillis() - before.atMillis())
                        .isAtLeast(ORDER_TIMEOUT_MILLIS);
            }
        }
    }

    /** Guards against a paused lease holder that sends an order after its successor has taken over. */
    @Property(seed = "53", tries = 300)
    void pausedLeaseHolderSendsNoOrderAfterItsSuccessor(@ForAll long seed, @ForAll boolean duringRenewal) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        SettableConfiguration configuration = new SettableConfiguration(true);
        List<SentOrder> sentOrders = new ArrayList<>();
        Router first = new Router(simulation, configuration, 0, sentOrders);
        Router second = new Router(simulation, configuration, 1, sentOrders);
        setLiveRouters(first, second, true, true);
        simulation.advance(1_000);
        configuration.version++;
        configuration.refresh();
        while (sentOrders.isEmpty()) {
            simulation.advance(10);
        }
        simulation.advance(simulation.random().nextLong(4_000));
        long writes = simulation.platform().writeCount();
        while (duringRenewal && simulation.platform().writeCount() == writes) {
            simulation.advance(1);
        }
        boolean firstIsLeaseHolder = sentOrders.getFirst().router().equals("first");
        Router paused = firstIsLeaseHolder ? first : second;
        Router successor = firstIsLeaseHolder ? second : first;
        List<RouterMember> live = List.of(successor.process.member());
        successor.membership.set(live, live);
        long pauseMillis = 2_000 + simulation.random().nextLong(18_000);
        paused.process.pause(pauseMillis);
        simulation.advance(30_000);

        assertNoOverlap(sentOrders);
        if (pauseMillis > EngineLeaseManager.TAKEOVER_DELAY_MILLIS + 2_000) {
            assertThat(sentOrders.stream().map(SentOrder::router).distinct().count())
                    .isEqualTo(2);
        }
    }

    /** Guards against engines that never receive the order to load a new version. */
    @Property(seed = "52", tries = 20)
    void allEnginesReceiveTheOrderForTheNewVersionEvenIfTheLeaseHolderFails(
            @ForAll long seed, @ForAll boolean fencing) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        SettableConfiguration configuration = new SettableConfiguration(fencing);
        List<SentOrder> sentOrders = new ArrayList<>();
        Router first = new Router(simulation, configuration, 0, sentOrders);
        Router second = new Router(simulation, configuration, 1, sentOrders);
        setLiveRouters(first, second, true, true);
        simulation.advance(1_000);
        configuration.version++;
        configuration.refresh();
        simulation.advance(6_000);
        assertThat(sentOrders).isNotEmpty();
        boolean firstIsLeaseHolder = sentOrders.getFirst().router().equals("first");
        (firstIsLeaseHolder ? first : second).process.kill();
        setLiveRouters(first, second, !firstIsLeaseHolder, firstIsLeaseHolder);
        simulation.advance(60_000);

        long ordered = sentOrders.stream()
                .map(sent -> sent.order().target().id())
                .distinct()
                .count();
        assertThat(ordered).isEqualTo(TARGETS);
    }

    private static void setLiveRouters(Router first, Router second, boolean firstLive, boolean secondLive) {
        List<RouterMember> members = List.of(first.process.member(), second.process.member());
        first.membership.set(
                firstLive ? (secondLive ? members : members.subList(0, 1)) : members.subList(1, 2), members);
        second.membership.set(
                secondLive ? (firstLive ? members : members.subList(1, 2)) : members.subList(0, 1), members);
    }

    private record SentOrder(String router, SendOrder order, long atMillis) {}

    private static final class Router {
        private final SimulatedRouterProcess process;
        private final SettableMembershipView membership;

        private Router(
                ClusterSimulation simulation,
                SettableConfiguration configuration,
                int number,
                List<SentOrder> sentOrders) {
            process = new SimulatedRouterProcess(simulation, simulation.member(number, 0));
            membership = new SettableMembershipView(process.member());
            EngineOrderController controller = new EngineOrderController(
                    membership, configuration, LOADS_PER_SECOND, new OperationNumberGenerator());
            String name = number == 0 ? "first" : "second";
            process.addComponent((event, now) -> {
                var commands = controller.handle(event, now);
                for (var command : commands) {
                    if (command instanceof SendOrder order) {
                        sentOrders.add(new SentOrder(name, order, now));
                        simulation.schedule(
                                simulation.random().nextLong(ORDER_TIMEOUT_MILLIS),
                                () -> process.offer(new TargetEvent.OrderResponseReceived(
                                        order.target().id(), order.order(), true, "")));
                    }
                }
                return commands;
            });
            simulation.add(process);
        }
    }

    private static final class SettableConfiguration implements ConfigurationView {
        private final Set<Capability> capabilities;
        private int version = 1;
        private List<Target> targets = List.of();

        private SettableConfiguration(boolean fencing) {
            capabilities = fencing ? Set.of(Capability.FENCING) : Set.of();
            refresh();
        }

        private void refresh() {
            List<Target> list = new ArrayList<>();
            for (int i = 0; i < TARGETS; i++) {
                list.add(new Target(
                        new TargetId("t" + i),
                        new ServiceName("engines"),
                        "10.9.0." + i + ":8000",
                        new Region("r"),
                        new FailureDomain("d"),
                        "model",
                        "v" + version,
                        8,
                        capabilities));
            }
            targets = List.copyOf(list);
        }

        @Override
        public Optional<ServiceSettings> service(ServiceName name) {
            return Optional.empty();
        }

        @Override
        public List<ServiceSettings> services() {
            return List.of();
        }

        @Override
        public Optional<AccountSettings> account(AccountId id) {
            return Optional.empty();
        }

        @Override
        public Optional<AccountSettings> accountByKey(String keySha256) {
            return Optional.empty();
        }

        @Override
        public List<Target> targets() {
            return targets;
        }

        @Override
        public long revision() {
            return version;
        }

        @Override
        public boolean isReady() {
            return true;
        }
    }
}
