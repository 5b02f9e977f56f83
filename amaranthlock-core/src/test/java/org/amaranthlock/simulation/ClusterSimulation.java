package org.amaranthlock.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.ToLongBiFunction;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.NodeCore;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Routers, a network between them and a platform, in virtual time. */
public final class ClusterSimulation {
    public static final long START = 1_000_000;
    /** Repeated messages arrive late, as they do behind a paused process. */
    private static final long LONGEST_REPLAY_MILLIS = 5_000;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<String, SimulatedRouterProcess> byAddress = new LinkedHashMap<>();
    private final UniformRandomProvider random;
    private final InMemoryPlatform platform;
    private BiPredicate<RouterMember, RouterMember> path = (from, to) -> true;
    private ToLongBiFunction<RouterMember, RouterMember> extraLatency = (from, to) -> 0;
    private BiConsumer<SimulatedRouterProcess, Command> commandExecutor = SimulatedRouterProcess::recordCommand;
    private boolean refusesConnections;
    private double dropRate;
    private double duplicateRate;
    private long maxLatencyMillis = 12;
    private long now = START;
    private long order;

    public ClusterSimulation(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        platform = new InMemoryPlatform(this, random);
    }

    public long now() {
        return now;
    }

    public UniformRandomProvider random() {
        return random;
    }

    public InMemoryPlatform platform() {
        return platform;
    }

    public List<SimulatedRouterProcess> routers() {
        return List.copyOf(byAddress.values());
    }

    public List<SimulatedRouterProcess> running() {
        List<SimulatedRouterProcess> result = new ArrayList<>(byAddress.values());
        result.removeIf(router -> !router.running());
        return result;
    }

    /** Makes the network lose, repeat and reorder messages. */
    public void setNetworkFaults(double drop, double duplicate, long maxLatency) {
        dropRate = drop;
        duplicateRate = duplicate;
        maxLatencyMillis = maxLatency;
    }

    /** Restricts which routers reach each other. */
    public void setReachability(BiPredicate<RouterMember, RouterMember> reaches) {
        path = reaches;
    }

    /** Lets senders notice at once that the process of the receiver has ended, as a refused connection does. */
    public void refuseConnections() {
        refusesConnections = true;
    }

    /** Adds latency between pairs of routers, in milliseconds. */
    public void setLatency(ToLongBiFunction<RouterMember, RouterMember> latency) {
        extraLatency = latency;
    }

    /** Sets who carries out the commands that neither network nor platform carries out; without it they are kept. */
    public void commandExecutor(BiConsumer<SimulatedRouterProcess, Command> executor) {
        commandExecutor = executor;
    }

    /** Returns a router that takes the place of an earlier one with the same number. */
    public RouterMember member(int number, int incarnation) {
        int domain = number % 3;
        return new RouterMember(
                new HostId("r" + number + "-" + Long.toString(START + incarnation, 36)),
                "10.0.0." + number + ":7000",
                new Region("region-" + domain),
                new FailureDomain("domain-" + domain));
    }

    public void add(SimulatedRouterProcess router) {
        byAddress.put(router.member().address(), router);
        schedule(random.nextLong(NodeCore.TICK_MILLIS), () -> tick(router));
    }

    private void tick(SimulatedRouterProcess router) {
        if (router.running()) {
            router.offer(new Event.Tick());
            schedule(NodeCore.TICK_MILLIS, () -> tick(router));
        }
    }

    public void schedule(long delayMillis, Runnable action) {
        tasks.add(new Task(now + delayMillis, order++, action));
    }

    public void advance(long millis) {
        long end = now + millis;
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = task.at();
            task.action().run();
        }
        now = end;
    }

    void execute(SimulatedRouterProcess from, Command command) {
        switch (command) {
            case Command.SendPeer send -> {
                from.countMessage();
                deliver(from, send, 0);
                if (random.nextDouble() < duplicateRate) {
                    deliver(from, send, random.nextLong(LONGEST_REPLAY_MILLIS));
                }
            }
            case ObjectApiCommand operation -> platform.execute(from, operation);
            default -> commandExecutor.accept(from, command);
        }
    }

    private void deliver(SimulatedRouterProcess from, Command.SendPeer send, long delayMillis) {
        SimulatedRouterProcess to = byAddress.get(send.address());
        boolean self = to == from;
        if (to == null || (!self && random.nextDouble() < dropRate)) {
            return;
        }
        long latency =
                self ? 0 : 1 + random.nextLong(maxLatencyMillis) + extraLatency.applyAsLong(from.member(), to.member());
        schedule(delayMillis + latency, () -> {
            if (!to.running() && refusesConnections) {
                from.offer(new Event.PeerUnreachable(send.to()));
                return;
            }
            boolean meant = to.member().host().equals(send.to()) || send.to().isUnknown();
            if (meant && path.test(from.member(), to.member())) {
                to.offer(new Event.PeerReceived(from.member().host(), send.message()));
            }
        });
    }

    private record Task(long at, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }
}
