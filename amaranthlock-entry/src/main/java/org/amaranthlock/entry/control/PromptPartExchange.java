package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.promptpart.PromptPartGuard;
import org.amaranthlock.coordination.promptpart.PromptPartReport;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exchanges what hosts know of prompt parts that may crash targets. The guard is used on the traffic loop, the peer
 * connections on the control loop.
 *
 * <p>Changes are sent to all hosts at once. Lost reports are made up for: the trials of this host are repeated, and one
 * other host after the other gets all that is known.
 */
public final class PromptPartExchange {
    private static final long REPEAT_INTERVAL_MILLIS = 2_000;

    private final PromptPartGuard guard;
    private final EventLoop trafficLoop;
    private final EventLoop controlLoop;
    private final PeerQueries peerQueries;
    private final PromptPartVerdicts verdicts;
    private final LongSupplier clockMillis;
    private final UniformRandomProvider random;
    private final String hostName;
    private final Runnable verdictsListener;

    /**
     * Creates an exchange that sends through {@code peerQueries} and keeps verdicts in the store.
     *
     * @param verdictsListener runs on the traffic loop when another host has sent the verdicts
     */
    public PromptPartExchange(
            String hostName,
            PromptPartGuard guard,
            EventLoop trafficLoop,
            EventLoop controlLoop,
            PeerQueries peerQueries,
            PromptPartVerdicts verdicts,
            LongSupplier clockMillis,
            UniformRandomProvider random,
            Runnable verdictsListener) {
        this.hostName = Objects.requireNonNull(hostName, "host name");
        this.verdictsListener = Objects.requireNonNull(verdictsListener, "verdicts listener");
        this.guard = Objects.requireNonNull(guard, "guard");
        this.trafficLoop = Objects.requireNonNull(trafficLoop, "traffic loop");
        this.controlLoop = Objects.requireNonNull(controlLoop, "control loop");
        this.peerQueries = Objects.requireNonNull(peerQueries, "peer queries");
        this.verdicts = Objects.requireNonNull(verdicts, "verdicts");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Starts the periodic exchange that compensates for lost reports. */
    public void start() {
        trafficLoop.scheduleAtFixedRate(
                this::repeat, REPEAT_INTERVAL_MILLIS, REPEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Starts to read the verdicts that the store holds. */
    public void readVerdicts() {
        verdicts.start();
    }

    /** Uses the verdicts that another host has sent instead of reading them from the store; on the control loop. */
    public void useVerdicts(PromptPartReport report) {
        verdicts.markKnown();
        trafficLoop.execute(() -> {
            guard.updateRemote(report, clockMillis.getAsLong());
            verdictsListener.run();
        });
    }

    /** Returns whether this host knows the verdicts that the store held when it started; on the control loop. */
    public boolean knowsVerdicts() {
        return verdicts.isKnown();
    }

    /** Passes all known verdicts on prompt parts to {@code receiver}, on the control loop. */
    public void fullReport(Consumer<PromptPartReport> receiver) {
        trafficLoop.execute(() -> {
            PromptPartReport report = guard.fullReport(clockMillis.getAsLong())
                    .orElseGet(() -> new PromptPartReport(hostName, List.of(), Set.of(), Set.of()));
            controlLoop.execute(() -> receiver.accept(report));
        });
    }

    /** Tells the other hosts and the store what this one has found out; called on the traffic loop. */
    public void reportChanges() {
        guard.takeVerdicts(clockMillis.getAsLong())
                .forEach(verdict -> controlLoop.execute(() -> verdicts.save(verdict)));
        send(
                guard.takeChanges(clockMillis.getAsLong()),
                report -> peerQueries
                        .connectedPeers()
                        .forEach(peer -> peerQueries.sendQuery(peer, new EntryPeerMessage.PromptParts(report))));
    }

    /** Tells a host that has just been connected all that is known; called on the control loop. */
    public void onConnected(String peer) {
        trafficLoop.execute(() -> send(
                guard.fullReport(clockMillis.getAsLong()),
                report -> peerQueries.sendQuery(peer, new EntryPeerMessage.PromptParts(report))));
    }

    /** Applies the report of another host; called on the control loop. */
    public void onReport(PromptPartReport report) {
        trafficLoop.execute(() -> guard.updateRemote(report, clockMillis.getAsLong()));
    }

    private void repeat() {
        guard.repeatTrials();
        reportChanges();
        send(guard.fullReport(clockMillis.getAsLong()), report -> {
            Set<String> connected = peerQueries.connectedPeers();
            if (!connected.isEmpty()) {
                String peer = List.copyOf(connected).get(random.nextInt(connected.size()));
                peerQueries.sendQuery(peer, new EntryPeerMessage.PromptParts(report));
            }
        });
    }

    private void send(Optional<PromptPartReport> report, Consumer<PromptPartReport> sender) {
        report.ifPresent(present -> controlLoop.execute(() -> sender.accept(present)));
    }
}
