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

/** Simulation of routers, the network between them and a platform, in virtual time. */
public final class ClusterSimulation {
    public static final long START_MILLIS = 1_000_000;
    /** Duplicate messages arrive late, as they do after a pause of a process. */
    private static final long MAX_DUPLICATE_DELAY_MILLIS = 5_000;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<String, SimulatedRouterProcess> routersByAddress = new LinkedHashMap<>();
    private final UniformRandomProvider random;
    private final InMemoryPlatform platform;
    private BiPredicate<RouterMember, RouterMember> reachability = (from, to) -> true;
    private ToLongBiFunction<RouterMember, RouterMember> extraLatency = (from, to) -> 0;
    private BiConsumer<SimulatedRouterProcess, Command> commandExecutor = SimulatedRouterProcess::recordCommand;
    private boolean reportsRefusedConnections;
    private double dropRate;
    private double duplicateRate;
    private long maxLatencyMillis = 12;
    private long now = START_MILLIS;
    private long nextTaskNumber;

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
        return List.copyOf(routersByAddress.values());
    }

    public List<SimulatedRouterProcess> runningRouters() {
        List<SimulatedRouterProcess> result = new ArrayList<>(routersByAddress.values());
        result.removeIf(router -> !router.running());
        return result;
    }

    /** Sets the rates of lost and duplicate messages and the largest latency, which also determines reordering. */
    public void setNetworkFaults(double drop, double duplicate, long maxLatency) {
        dropRate = drop;
        duplicateRate = duplicate;
        maxLatencyMillis = maxLatency;
    }

    /** Sets which routers can send messages to which others. */
    public void setReachability(BiPredicate<RouterMember, RouterMember> predicate) {
        reachability = predicate;
    }

    /** Notifies senders at once when the process of the receiver has ended, as a refused connection does. */
    public void reportRefusedConnections() {
        reportsRefusedConnections = true;
    }

    /** Sets the additional latency from one router to another, in milliseconds. */
    public void setLatency(ToLongBiFunction<RouterMember, RouterMember> latency) {
        extraLatency = latency;
    }

    /** Sets the executor of commands that are not for the network or the platform; by default they are recorded. */
    public void setCommandExecutor(BiConsumer<SimulatedRouterProcess, Command> executor) {
        commandExecutor = executor;
    }

    /** Returns the member of a router; all incarnations of a router number have the same address. */
    public RouterMember member(int number, int incarnation) {
        int domain = number % 3;
        return new RouterMember(
                new HostId("r" + number + "-" + Long.toString(START_MILLIS + incarnation, 36)),
                "10.0.0." + number + ":7000",
                new Region("region-" + domain),
                new FailureDomain("domain-" + domain));
    }

    public void add(SimulatedRouterProcess router) {
        routersByAddress.put(router.member().address(), router);
        schedule(random.nextLong(NodeCore.TICK_MILLIS), () -> tick(router));
    }

    private void tick(SimulatedRouterProcess router) {
        if (router.running()) {
            router.offer(new Event.Tick());
            schedule(NodeCore.TICK_MILLIS, () -> tick(router));
        }
    }

    public void schedule(long delayMillis, Runnable action) {
        tasks.add(new Task(now + delayMillis, nextTaskNumber++, action));
    }

    public void advance(long millis) {
        long end = now + millis;
        while (!tasks.isEmpty() && tasks.peek().dueAtMillis() <= end) {
            Task task = tasks.poll();
            now = task.dueAtMillis();
            task.action().run();
        }
        now = end;
    }

    void execute(SimulatedRouterProcess from, Command command) {
        switch (command) {
            case Command.SendPeer send -> {
                from.recordSentMessage();
                deliver(from, send, 0);
                if (random.nextDouble() < duplicateRate) {
                    deliver(from, send, random.nextLong(MAX_DUPLICATE_DELAY_MILLIS));
                }
            }
            case ObjectApiCommand operation -> platform.execute(from, operation);
            default -> commandExecutor.accept(from, command);
        }
    }

    private void deliver(SimulatedRouterProcess from, Command.SendPeer send, long delayMillis) {
        SimulatedRouterProcess to = routersByAddress.get(send.address());
        boolean self = to == from;
        if (to == null || (!self && random.nextDouble() < dropRate)) {
            return;
        }
        long latency =
                self ? 0 : 1 + random.nextLong(maxLatencyMillis) + extraLatency.applyAsLong(from.member(), to.member());
        schedule(delayMillis + latency, () -> {
            if (!to.running() && reportsRefusedConnections) {
                from.offer(new Event.PeerUnreachable(send.to()));
                return;
            }
            boolean addressed =
                    to.member().host().equals(send.to()) || send.to().isUnknown();
            if (addressed && reachability.test(from.member(), to.member())) {
                to.offer(new Event.PeerReceived(from.member().host(), send.message()));
            }
        });
    }

    /** Action at a point in time; tasks that are due at the same time run in the order of their numbers. */
    private record Task(long dueAtMillis, long number, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return dueAtMillis != other.dueAtMillis
                    ? Long.compare(dueAtMillis, other.dueAtMillis)
                    : Long.compare(number, other.number);
        }
    }
}
