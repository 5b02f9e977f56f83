package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.loadreport.NewestReports;
import org.amaranthlock.coordination.loadreport.ObservedReport;
import org.amaranthlock.coordination.loadreport.ReportPeer;
import org.amaranthlock.coordination.loadreport.ReportPlan;
import org.amaranthlock.coordination.loadreport.ReportPlanner;
import org.amaranthlock.coordination.loadreport.ReportTraffic;
import org.amaranthlock.coordination.loadreport.ReportVersion;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerFrame;

/**
 * Sends the load reports of this host, passes on those of others, and receives them all. All calls are on the control
 * loop.
 *
 * <p>A report contains the complete state of its host, so the next one makes up for a lost one. Connections over which
 * reports are passed on are checked: one that has gone silent is closed and opened again, and its host is not relied on
 * for some seconds.
 */
public final class LoadReportExchange {
    /** Interval at which a report is sent even if nothing has changed. */
    private static final long HEARTBEAT_MILLIS = 1_500;

    /** The same for a report that goes through others, which takes longer to arrive. */
    private static final long RELAYED_HEARTBEAT_MILLIS = 1_200;

    /** Least time between two reports of a host whose reports go through others. */
    private static final long RELAYED_INTERVAL_MILLIS = 200;

    /** Time within which changed reports are passed on together. */
    private static final long MIN_PASS_ON_DELAY_MILLIS = 200;

    /** Delay for each recipient of a host that has many of them, which bounds the messages that it sends. */
    private static final long PASS_ON_DELAY_MILLIS_PER_RECIPIENT = 10;

    /** Longest delay of a host that has many recipients because it shares the work with others. */
    private static final long MAX_SHARED_PASS_ON_DELAY_MILLIS = 600;

    /** Time within which reports that only show that their hosts live are passed on together to other domains. */
    private static final long REPEATED_TO_REMOTE_DELAY_MILLIS = 400;

    /** The same to the hosts of the local domain, which is the last step of such a report. */
    private static final long REPEATED_TO_MEMBERS_DELAY_MILLIS = 500;

    /** Interval of the checks of connections, and time after which one without an answer is silent. */
    private static final long CHECK_INTERVAL_MILLIS = 2_000;

    /** Time for which a host whose connection was silent is not relied on. */
    private static final long EXCLUSION_MILLIS = 3_000;

    /** Time for which a host that has passed on a report checks the connections over which it does. */
    private static final long PASSING_ON_MILLIS = 3_000;

    /** Time after which the plan is made again, because hosts may have fallen silent. */
    private static final long PLAN_EXPIRY_MILLIS = 500;

    private final String hostName;
    private final EventLoop loop;
    private final Links links;
    private final ReportPlanner planner;
    private final long run;
    private final LongSupplier clockMillis;
    private final Consumer<List<ObservedReport>> listener;
    private final Consumer<String> unknownHostListener;
    private final DecisionLog log;
    private final NewestReports newest = new NewestReports();
    private final ReportTraffic traffic = new ReportTraffic();

    /** Passes all reports on to the hosts of the local failure domain. */
    private final ReportPassOn toMembers;

    /** Passes the reports of the local failure domain on to hosts of the others. */
    private final ReportPassOn toRemoteRelays;

    private final Map<String, Check> checks = new HashMap<>();
    private final Map<String, Long> excludedUntil = new HashMap<>();
    private HostLoadReport local;
    private long sequence;
    private long sentAtMillis;
    private long checkedAtMillis;
    private long lastCheckId;
    private ReportPlan plan;
    private long plannedAtMillis;
    private int groups = 1;
    private volatile long minIntervalMillis;

    /** Connections to the other hosts. */
    public interface Links {
        /** Returns the connected hosts that are registered; {@link ReportPeer#responsive} is not used. */
        Collection<ReportPeer> connected();

        /** Returns the names of the other registered hosts, connected or not. */
        Set<String> registered();

        /** Sends a message to those of the hosts that are connected and read it; returns to how many. */
        int send(Collection<String> hosts, PeerFrame frame);

        /** Opens a connection to a registered host if there is none. */
        void connect(String host);

        /** Closes the connection to an unresponsive host, so that a new one is opened. */
        void reset(String host);
    }

    private record Check(long id, long sentAtMillis) {}

    /**
     * Creates an exchange.
     *
     * @param run random number of this process
     * @param clockMillis clock that includes suspensions
     * @param listener receives newer reports of other hosts
     * @param unknownHostListener receives the names of hosts that report and are not registered as far as this one knows
     */
    public LoadReportExchange(
            String hostName,
            EventLoop loop,
            Links links,
            ReportPlanner planner,
            long run,
            LongSupplier clockMillis,
            Consumer<List<ObservedReport>> listener,
            Consumer<String> unknownHostListener,
            DecisionLog log) {
        this.hostName = Objects.requireNonNull(hostName, "host name");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.links = Objects.requireNonNull(links, "links");
        this.planner = Objects.requireNonNull(planner, "planner");
        this.run = run;
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.unknownHostListener = Objects.requireNonNull(unknownHostListener, "unknown host listener");
        this.log = Objects.requireNonNull(log, "log");
        PacedSender sender = new PacedSender(
                loop,
                ReportTraffic.MAX_BYTES_PER_SECOND,
                clockMillis,
                (host, frame) -> links.send(List.of(host), frame),
                log);
        PlannedRecipients members = new PlannedRecipients(ReportPlan::members, REPEATED_TO_MEMBERS_DELAY_MILLIS, false);
        PlannedRecipients remoteRelays =
                new PlannedRecipients(ReportPlan::remoteRelays, REPEATED_TO_REMOTE_DELAY_MILLIS, true);
        this.toMembers = new ReportPassOn(loop, clockMillis, members, sender, log);
        this.toRemoteRelays = new ReportPassOn(loop, clockMillis, remoteRelays, sender, log);
        this.local = HostLoadReport.empty(hostName);
    }

    /** Starts to send reports and to check connections. */
    public void start() {
        scheduleHeartbeat(HEARTBEAT_MILLIS);
        loop.scheduleWithFixedDelay(
                this::checkConnections, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the least time between two reports of this host; called on any thread. */
    public long minIntervalMillis() {
        return minIntervalMillis;
    }

    /** Sends a new report of this host. */
    public void publish(HostLoadReport report) {
        local = report;
        send();
    }

    /** Returns the message with which this host begins a connection; the other host learns from it what it reads. */
    public EntryPeerMessage greeting() {
        return new EntryPeerMessage.LoadReport(local, version(), false);
    }

    /** Plans anew at the next message, since a connection or what its host reads has changed. */
    public void onConnectionChanged(String peer) {
        checks.remove(peer);
        plan = null;
        if (excludedUntil.containsKey(peer)) {
            check(peer, clockMillis.getAsLong());
        }
    }

    /** Forgets the hosts that are not registered any more. */
    public void onPeersChanged() {
        Set<String> registered = links.registered();
        Set<String> kept = new HashSet<>(registered);
        kept.add(hostName);
        newest.retain(kept);
        traffic.retain(kept);
        toMembers.retain(kept);
        toRemoteRelays.retain(kept);
        excludedUntil.keySet().retainAll(kept);
        plan = null;
    }

    /** Handles the report of a host that it has sent itself. */
    public void onReport(EntryPeerMessage.LoadReport message) {
        String host = message.report().host();
        if (links.registered().contains(host)) {
            links.connect(host);
        } else {
            unknownHostListener.accept(host);
        }
        ObservedReport report = new ObservedReport(
                message.report(), message.version().orElse(ReportVersion.UNKNOWN), clockMillis.getAsLong());
        if (newest.record(report)) {
            traffic.record(report, report.atMillis());
            listener.accept(List.of(report));
        }
        if (message.passOn()) {
            passOn(report, true);
        }
    }

    /** Handles reports that another host has passed on. */
    public void onBundle(EntryPeerMessage.ReportBundle bundle) {
        long nowMillis = clockMillis.getAsLong();
        Set<String> registered = links.registered();
        List<ObservedReport> newer = new ArrayList<>();
        for (EntryPeerMessage.AgedReport aged : bundle.reports()) {
            ObservedReport report =
                    new ObservedReport(aged.report(), aged.version(), nowMillis - Math.max(0, aged.ageMillis()));
            if (report.host().equals(hostName)) {
                continue;
            }
            if (!registered.contains(report.host())) {
                unknownHostListener.accept(report.host());
            }
            if (newest.record(report)) {
                traffic.record(report, nowMillis);
                newer.add(report);
            }
            if (bundle.passOn()) {
                passOn(report, false);
            }
        }
        if (!newer.isEmpty()) {
            listener.accept(newer);
        }
    }

    /** Records that a checked connection works. */
    public void onChecked(EntryPeerMessage.LinkChecked response) {
        List<String> checked = checks.entrySet().stream()
                .filter(check -> check.getValue().id() == response.id())
                .map(Map.Entry::getKey)
                .toList();
        for (String host : checked) {
            checks.remove(host);
            if (excludedUntil.remove(host) != null) {
                plan = null;
            }
        }
    }

    private void scheduleHeartbeat(long delayMillis) {
        loop.schedule(this::sendIfDue, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void sendIfDue() {
        long intervalMillis = currentPlan().usesRelays() ? RELAYED_HEARTBEAT_MILLIS : HEARTBEAT_MILLIS;
        long remainingMillis = sentAtMillis + intervalMillis - clockMillis.getAsLong();
        if (remainingMillis > 0) {
            scheduleHeartbeat(remainingMillis);
        } else {
            send();
            scheduleHeartbeat(intervalMillis);
        }
    }

    private void send() {
        sequence++;
        sentAtMillis = clockMillis.getAsLong();
        traffic.record(new ObservedReport(local, version(), sentAtMillis), sentAtMillis);
        ReportPlan current = currentPlan();
        send(current.direct(), new EntryPeerMessage.LoadReport(local, version(), false));
        send(current.relays(), new EntryPeerMessage.LoadReport(local, version(), true));
        if (current.relaysItself()) {
            passOn(new ObservedReport(local, version(), sentAtMillis), true);
        }
    }

    private ReportVersion version() {
        return new ReportVersion(run, sequence);
    }

    private void passOn(ObservedReport report, boolean ofLocalDomain) {
        toMembers.add(report);
        if (ofLocalDomain) {
            toRemoteRelays.add(report);
        }
    }

    /**
     * Returns the time within which changed reports are passed on together. Hosts that share the work send more messages
     * together, each with less in it, and so wait longer.
     */
    private long passOnDelayMillis(int recipients) {
        long aloneMillis = recipients * PASS_ON_DELAY_MILLIS_PER_RECIPIENT;
        long sharedMillis = Math.min(aloneMillis * groups, MAX_SHARED_PASS_ON_DELAY_MILLIS);
        return Math.max(MIN_PASS_ON_DELAY_MILLIS, Math.max(aloneMillis, sharedMillis));
    }

    /** Recipients that the current plan names. */
    private final class PlannedRecipients implements ReportPassOn.Recipients {
        private final Function<ReportPlan, Set<String>> selection;
        private final long minRepeatedDelayMillis;
        private final boolean passOn;

        private PlannedRecipients(
                Function<ReportPlan, Set<String>> selection, long minRepeatedDelayMillis, boolean passOn) {
            this.selection = selection;
            this.minRepeatedDelayMillis = minRepeatedDelayMillis;
            this.passOn = passOn;
        }

        @Override
        public Set<String> hosts() {
            return selection.apply(currentPlan());
        }

        @Override
        public long delayMillis() {
            return passOnDelayMillis(hosts().size());
        }

        @Override
        public long repeatedDelayMillis() {
            return Math.max(minRepeatedDelayMillis, delayMillis());
        }

        @Override
        public boolean passOn() {
            return passOn;
        }
    }

    private int send(Collection<String> hosts, EntryPeerMessage message) {
        return hosts.isEmpty() ? 0 : links.send(hosts, PeerFrame.of(message));
    }

    private ReportPlan currentPlan() {
        long nowMillis = clockMillis.getAsLong();
        if (plan == null || nowMillis - plannedAtMillis >= PLAN_EXPIRY_MILLIS) {
            excludedUntil.values().removeIf(until -> until <= nowMillis);
            List<ReportPeer> peers = links.connected().stream()
                    .map(peer -> new ReportPeer(
                            peer.name(), peer.domain(), peer.passesOn(), isResponsive(peer.name(), nowMillis)))
                    .toList();
            int hosts = links.registered().size() + 1;
            int domainSize = planner.domainSize(peers);
            groups = traffic.groups(domainSize, hosts, RELAYED_HEARTBEAT_MILLIS, nowMillis);
            plan = planner.plan(peers, hosts, groups);
            plannedAtMillis = nowMillis;
            minIntervalMillis = Math.max(
                    plan.usesRelays() ? RELAYED_INTERVAL_MILLIS : 0, traffic.minIntervalMillis(plan.usesRelays()));
        }
        return plan;
    }

    private boolean isResponsive(String host, long nowMillis) {
        return !excludedUntil.containsKey(host) && !newest.isSilent(host, nowMillis);
    }

    private void checkConnections() {
        long nowMillis = clockMillis.getAsLong();
        boolean wasPaused = nowMillis - checkedAtMillis >= 2 * CHECK_INTERVAL_MILLIS;
        checkedAtMillis = nowMillis;
        if (wasPaused) {
            // The answers may have arrived meanwhile and wait to be read.
            checks.clear();
        }
        List<String> silent = checks.entrySet().stream()
                .filter(check -> nowMillis - check.getValue().sentAtMillis() >= CHECK_INTERVAL_MILLIS)
                .map(Map.Entry::getKey)
                .toList();
        ReportPlan before = currentPlan();
        silent.forEach(host -> exclude(host, nowMillis));
        if (silent.stream().anyMatch(before.relays()::contains)) {
            send();
        }
        reliedOn(!silent.isEmpty(), nowMillis).forEach(host -> check(host, nowMillis));
    }

    /**
     * Returns the hosts whose connections are to be checked: those over which reports reach many hosts, or all after one
     * has been found silent, since what silenced it may have silenced others.
     */
    private Set<String> reliedOn(boolean all, long nowMillis) {
        if (all) {
            return links.registered();
        }
        ReportPlan current = currentPlan();
        Set<String> hosts = new HashSet<>(current.relays());
        if (nowMillis - toRemoteRelays.passedOnAtMillis() <= PASSING_ON_MILLIS) {
            hosts.addAll(current.remoteRelays());
        }
        return hosts;
    }

    private void check(String host, long nowMillis) {
        if (!checks.containsKey(host) && send(List.of(host), new EntryPeerMessage.LinkCheck(lastCheckId + 1)) > 0) {
            checks.put(host, new Check(++lastCheckId, nowMillis));
        }
    }

    private void exclude(String host, long nowMillis) {
        log.write("peer-link-silent", "peer", host, "excluded_ms", EXCLUSION_MILLIS);
        excludedUntil.put(host, nowMillis + EXCLUSION_MILLIS);
        checks.remove(host);
        plan = null;
        links.reset(host);
        links.connect(host);
    }
}
