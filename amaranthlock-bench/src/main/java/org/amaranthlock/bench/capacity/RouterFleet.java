package org.amaranthlock.bench.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.NodeCore;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;
import org.amaranthlock.protocol.PeerFrame;
import org.amaranthlock.protocol.PeerMessageCodec;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.peer.PeerMessage;

/**
 * Runs router cores in one process and in virtual time. They exchange encoded peer messages and share an in-memory
 * object store.
 */
final class RouterFleet {
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long SAME_REGION_DELAY_MILLIS = 1;
    private static final long OTHER_REGION_DELAY_MILLIS = 12;
    private static final long LOAD_INTERVAL_MILLIS = 10;
    private static final int SEED_ROUTERS = 3;

    private final FleetSize size;
    private final EventQueue queue = new EventQueue(START_MILLIS);
    private final InMemoryObjectStore store = new InMemoryObjectStore(queue);
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private final FixedLatencyEngine engine;
    private final RequestGenerator requestGenerator;
    private final List<MeteredRouter> routers = new ArrayList<>();
    private final Map<String, MeteredRouter> routersByAddress = new LinkedHashMap<>();
    private BiPredicate<RouterMember, RouterMember> reachability = (from, to) -> true;
    private boolean loadEnabled;
    private double changesPerSecond;
    private double pendingChanges;
    private long requestedChanges;
    private long failedChanges;
    private long codecNanos;

    RouterFleet(FleetSize size) {
        this.size = size;
        this.engine = new FixedLatencyEngine(queue, size.tokensPerGeneration());
        this.requestGenerator = new RequestGenerator(size, 17);
        FleetConfiguration.writeEntries(size, store);
        for (int i = 0; i < size.routers(); i++) {
            startRouter(i, 0);
        }
        publishHostList();
        queue.schedule(LOAD_INTERVAL_MILLIS, this::generateLoad);
    }

    /** Starts a router; replaces the running router of the same number, as a restart with a higher incarnation does. */
    MeteredRouter startRouter(int number, int incarnation) {
        RouterMember member = new RouterMember(
                new HostId("router-" + number + "-" + Long.toString(START_MILLIS + incarnation, 36)),
                address(number),
                new Region(FleetConfiguration.regionName(number)),
                new FailureDomain(FleetConfiguration.domainName(number)));
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(SEED_ROUTERS, size.routers()); i++) {
            seeds.add(address(i));
        }
        MeteredRouter router = new MeteredRouter(member, seeds, 31L * number + incarnation);
        MeteredRouter old = routersByAddress.put(member.address(), router);
        if (old == null) {
            routers.add(router);
        } else {
            old.stop();
            routers.set(number, router);
        }
        // Distributes the ticks of the routers over the tick interval.
        queue.schedule(number * 7L % NodeCore.TICK_MILLIS, () -> tick(router));
        return router;
    }

    List<MeteredRouter> routers() {
        return routers;
    }

    EventQueue queue() {
        return queue;
    }

    InMemoryObjectStore store() {
        return store;
    }

    long requestedChanges() {
        return requestedChanges;
    }

    long failedChanges() {
        return failedChanges;
    }

    long codecNanos() {
        return codecNanos;
    }

    long requestsCreated() {
        return requestGenerator.requestsCreated();
    }

    /** Sets the predicate that decides whether a message from the first router reaches the second. */
    void setReachability(BiPredicate<RouterMember, RouterMember> predicate) {
        reachability = predicate;
    }

    /** Turns the requests and configuration changes of the {@link FleetSize} on or off. */
    void setLoadEnabled(boolean enabled) {
        loadEnabled = enabled;
        changesPerSecond = enabled ? size.changesPerSecond() : 0;
    }

    void setChangesPerSecond(double rate) {
        changesPerSecond = rate;
    }

    void advance(long millis) {
        queue.advance(millis);
    }

    /** Returns the sum of the metrics of all routers and resets them together with the codec time. */
    RouterCostMetrics drainMetrics() {
        RouterCostMetrics sum = new RouterCostMetrics();
        for (MeteredRouter router : routers) {
            sum.addAll(router.metrics());
            router.metrics().clear();
        }
        codecNanos = 0;
        return sum;
    }

    /** Releases all routers, so that the memory they held can be measured as the drop in heap usage. */
    void releaseRouters() {
        routers.forEach(MeteredRouter::stop);
        queue.clear();
    }

    private static String address(int number) {
        return "10.0." + number / 250 + "." + number % 250 + ":7000";
    }

    private void publishHostList() {
        List<HostEntry> hosts = new ArrayList<>();
        for (MeteredRouter router : routers) {
            RouterMember member = router.member();
            hosts.add(new HostEntry(
                    member.host().value(), "router", member.address(), member.region(), member.failureDomain(), false));
        }
        for (int i = 0; i < size.targets(); i++) {
            hosts.add(new HostEntry(
                    "target-" + i,
                    "target",
                    "10.1." + i / 250 + "." + i % 250 + ":8000",
                    new Region(FleetConfiguration.regionName(i)),
                    new FailureDomain(FleetConfiguration.domainName(i)),
                    false));
        }
        store.setHostList(hosts);
    }

    private void tick(MeteredRouter router) {
        if (router.running()) {
            handleEvent(router, new Event.Tick());
            queue.schedule(NodeCore.TICK_MILLIS, () -> tick(router));
        }
    }

    private void handleEvent(MeteredRouter router, Event event) {
        for (Command command : router.handle(event, queue.nowMillis())) {
            execute(router, command);
        }
    }

    private void execute(MeteredRouter from, Command command) {
        switch (command) {
            case Command.SendPeer send -> sendToPeer(from, send);
            case ObjectApiCommand platform ->
                store.execute(platform, from.metrics(), result -> handleEvent(from, result));
            case RequestCommand request -> engine.execute(request, event -> handleEvent(from, event));
            case TargetCommand target -> {
                from.metrics().recordPlatformCall("target poll", LoadPollSize.SENT_BYTES);
                engine.execute(target, event -> handleEvent(from, event));
            }
            case OperatorCommand.Failed _ -> failedChanges++;
            default -> {
                // All other commands, such as traces, are ignored.
            }
        }
    }

    private void sendToPeer(MeteredRouter from, Command.SendPeer send) {
        MeteredRouter to = routersByAddress.get(send.address());
        if (to == from) {
            queue.schedule(
                    0,
                    () -> handleEvent(from, new Event.PeerReceived(from.member().host(), send.message())));
            return;
        }
        long start = System.nanoTime();
        byte[] bytes = codec.encode(new PeerFrame(from.member().host(), 1, queue.nowMillis() << 16, send.message()));
        codecNanos += System.nanoTime() - start;
        // A frame is preceded by its length.
        from.metrics().recordMessage(send.message(), bytes.length + Integer.BYTES);
        if (to == null || !reachability.test(from.member(), to.member())) {
            return;
        }
        boolean sameRegion = from.member().region().equals(to.member().region());
        queue.schedule(
                sameRegion ? SAME_REGION_DELAY_MILLIS : OTHER_REGION_DELAY_MILLIS, () -> receive(to, send, bytes));
    }

    private void receive(MeteredRouter to, Command.SendPeer send, byte[] bytes) {
        // A router that knows only an address sends to a "seed/" id; a message to a previous incarnation is dropped.
        boolean addressed =
                to.member().host().equals(send.to()) || send.to().value().startsWith("seed/");
        if (!to.running() || !addressed) {
            return;
        }
        long start = System.nanoTime();
        PeerFrame frame = codec.decode(bytes).orElseThrow();
        codecNanos += System.nanoTime() - start;
        PeerMessage message = frame.message();
        handleEvent(to, new Event.PeerReceived(frame.sender(), message));
    }

    private void generateLoad() {
        queue.schedule(LOAD_INTERVAL_MILLIS, this::generateLoad);
        if (loadEnabled) {
            for (MeteredRouter router : routers) {
                int due = requestGenerator.dueRequests(router.member().host(), LOAD_INTERVAL_MILLIS);
                for (int i = 0; i < due; i++) {
                    handleEvent(router, requestGenerator.next(queue.nowMillis()));
                }
            }
        }
        pendingChanges += changesPerSecond * LOAD_INTERVAL_MILLIS / 1000;
        while (pendingChanges >= 1) {
            pendingChanges--;
            changeConfiguration();
        }
    }

    private void changeConfiguration() {
        int account = (int) (requestedChanges % size.accounts());
        String name = "account-" + account;
        String text = FleetConfiguration.accountEntry(account, (int) (2 + requestedChanges / size.accounts()));
        MeteredRouter writer = routers.get((int) (requestedChanges % routers.size()));
        requestedChanges++;
        handleEvent(
                writer,
                new OperatorEvent.PutConfiguration(
                        requestedChanges,
                        "account",
                        name,
                        store.revision("config/account/" + name),
                        Optional.of(text),
                        "operator",
                        "change-" + requestedChanges));
    }
}
