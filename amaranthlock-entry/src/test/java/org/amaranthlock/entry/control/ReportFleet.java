package org.amaranthlock.entry.control;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.amaranthlock.coordination.brittle.BrittleReport;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.coordination.loadreport.ObservedReport;
import org.amaranthlock.coordination.loadreport.ReportPeer;
import org.amaranthlock.coordination.loadreport.ReportPlanner;
import org.amaranthlock.coordination.targetlimit.LimitReport;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerFrame;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;
import org.jboss.logging.Logger;

/** Fleet of six failure domains whose hosts exchange load reports, in virtual time. */
final class ReportFleet {
    static final int DOMAINS = 6;
    static final TargetId ENGINE = new TargetId("engine");

    private static final int ONE_WAY_MILLIS = 12;

    final Map<String, Host> hosts = new TreeMap<>();

    /** Connections over which nothing arrives although they are open, as sender and receiver. */
    final Set<String> silentLinks = new HashSet<>();

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final double linkBytesPerMilli;
    private long nowMillis;
    private long messages;

    /** What a host has thrown while it received a message; the event loop would keep it to itself. */
    private Throwable failure;

    /** Creates an empty fleet whose links delay nothing. */
    ReportFleet() {
        this(Double.POSITIVE_INFINITY);
    }

    /** Creates an empty fleet in which each host has a link of its own, as wide in each direction. */
    ReportFleet(double linkBytesPerMilli) {
        this.linkBytesPerMilli = linkBytesPerMilli;
    }

    /** Host that is connected to all others. */
    final class Host implements LoadReportExchange.Links {
        final String name;
        final FailureDomain domain;
        final LoadReportExchange exchange;
        final Map<String, ObservedReport> known = new HashMap<>();
        final Set<String> unknownHosts = new HashSet<>();
        final SimulatedLink outgoing = new SimulatedLink(linkBytesPerMilli);
        final SimulatedLink incoming = new SimulatedLink(linkBytesPerMilli);
        private final LoadReportCollector collector;
        private HostLoadReport load;
        boolean earlierBuild;
        boolean alive = true;
        boolean frozen;
        long received;

        Host(int index, long run) {
            this.name = "host-" + index;
            this.domain = new FailureDomain("domain-" + index % DOMAINS);
            this.exchange = new LoadReportExchange(
                    name,
                    channel.eventLoop(),
                    this,
                    new ReportPlanner(name, domain, true),
                    run,
                    () -> nowMillis,
                    reports -> reports.forEach(report -> known.put(report.host(), report)),
                    unknownHosts::add,
                    new DecisionLog(Logger.getLogger("load-report-exchange-test"), () -> nowMillis));
            this.collector = new LoadReportCollector(
                    channel.eventLoop(), () -> nowMillis, () -> load, exchange::minIntervalMillis, exchange::publish);
        }

        @Override
        public Collection<ReportPeer> connected() {
            return hosts.values().stream()
                    .filter(host -> host.alive && host != this)
                    .map(host -> new ReportPeer(host.name, host.domain, !host.earlierBuild, true))
                    .toList();
        }

        @Override
        public Set<String> registered() {
            return hosts.keySet().stream().filter(host -> !host.equals(name)).collect(Collectors.toSet());
        }

        @Override
        public int send(Collection<String> receivers, PeerFrame frame) {
            if (alive && !frozen) {
                // Sorted, since the order of immutable sets differs from run to run.
                receivers.stream().sorted().forEach(receiver -> deliver(this, hosts.get(receiver), frame));
            }
            return receivers.size();
        }

        @Override
        public void connect(String host) {}

        @Override
        public void reset(String host) {
            silentLinks.remove(link(name, host));
            exchange.onConnectionChanged(host);
        }

        private void receive(EntryPeerMessage message, Host sender) {
            received++;
            switch (message) {
                case EntryPeerMessage.LoadReport report -> exchange.onReport(report);
                case EntryPeerMessage.ReportBundle bundle -> {
                    if (earlierBuild) {
                        throw new AssertionError("bundle sent to " + name + ", whose build does not read it");
                    }
                    exchange.onBundle(bundle);
                }
                case EntryPeerMessage.LinkCheck check ->
                    deliver(this, sender, PeerFrame.of(new EntryPeerMessage.LinkChecked(check.id())));
                case EntryPeerMessage.LinkChecked checked -> exchange.onChecked(checked);
                default -> throw new IllegalArgumentException("unexpected message " + message);
            }
        }

        void publish(int prefilling) {
            exchange.publish(report(name, prefilling));
        }

        /** Changes the load, which is reported as often as the host may. */
        void changeLoad(HostLoadReport newLoad) {
            load = newLoad;
            collector.onLoadChanged();
        }

        /** Returns the age of the newest report of another host. */
        long ageMillis(String host) {
            return known.containsKey(host) ? nowMillis - known.get(host).atMillis() : Long.MAX_VALUE;
        }

        Optional<Integer> prefilling(Host host) {
            return Optional.ofNullable(known.get(host.name))
                    .map(report -> report.report().inFlight().get(ENGINE))
                    .map(InFlightLoad::prefilling);
        }
    }

    void start(int count) {
        channel.freezeTime();
        IntStream.range(0, count).forEach(i -> hosts.put("host-" + i, new Host(i, i + 1)));
        // Processes do not start at the same moment.
        IntStream.range(0, count)
                .forEach(i -> channel.eventLoop()
                        .schedule(() -> host(i).exchange.start(), (i * 37) % 1_200, TimeUnit.MILLISECONDS));
    }

    Host host(int index) {
        return hosts.get("host-" + index);
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns the number of messages sent since the creation. */
    long messages() {
        return messages;
    }

    /** Returns a host that passes on the reports of a domain. */
    String relay(int domain) {
        Host member = hosts.values().stream()
                .filter(host -> host.domain.value().equals("domain-" + domain))
                .findFirst()
                .orElseThrow();
        return new ReportPlanner(member.name, member.domain, true)
                .plan(member.connected(), hosts.size(), 1)
                .relays()
                .iterator()
                .next();
    }

    long oldestReportMillis() {
        var running = hosts.values().stream()
                .filter(host -> host.alive && !host.frozen)
                .toList();
        return running.stream()
                .flatMap(host ->
                        running.stream().filter(other -> other != host).map(other -> host.ageMillis(other.name)))
                .max(Long::compare)
                .orElseThrow();
    }

    /** Returns the report of a host with one engine. */
    static HostLoadReport report(String host, int prefilling) {
        return new HostLoadReport(
                host,
                Map.of(ReportFleet.ENGINE, new InFlightLoad(prefilling, 0, 0, 0)),
                Set.of(),
                Map.of(),
                0,
                Set.of(),
                BrittleReport.EMPTY,
                LimitReport.EMPTY);
    }

    static String link(String from, String to) {
        return from + ">" + to;
    }

    void advance(int millis) {
        for (int step = 0; step < millis; step++) {
            nowMillis++;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            if (failure != null) {
                throw new AssertionError("a host failed at " + nowMillis + " ms", failure);
            }
        }
    }

    private void deliver(Host sender, Host receiver, PeerFrame frame) {
        messages++;
        int bytes = frame.bytes();
        double passedMillis = sender.outgoing.pass(bytes, nowMillis);
        schedule(passedMillis + ONE_WAY_MILLIS, () -> {
            double arrivedMillis = receiver.incoming.pass(bytes, nowMillis);
            if (arrivedMillis <= nowMillis) {
                arrive(sender, receiver, frame.message());
            } else {
                schedule(arrivedMillis, () -> arrive(sender, receiver, frame.message()));
            }
        });
    }

    private void schedule(double atMillis, Runnable task) {
        Runnable checked = () -> {
            try {
                task.run();
            } catch (RuntimeException | AssertionError e) {
                failure = e;
            }
        };
        channel.eventLoop().schedule(checked, (long) Math.ceil(atMillis) - nowMillis, TimeUnit.MILLISECONDS);
    }

    private void arrive(Host sender, Host receiver, EntryPeerMessage message) {
        boolean response = message instanceof EntryPeerMessage.Response;
        String link = response ? link(receiver.name, sender.name) : link(sender.name, receiver.name);
        if (receiver.alive && !receiver.frozen && !silentLinks.contains(link)) {
            receiver.receive(message, sender);
        }
    }
}
