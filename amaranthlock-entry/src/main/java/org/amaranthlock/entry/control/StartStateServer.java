package org.amaranthlock.entry.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.coordination.promptpart.PromptPartReport;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.EntryPeerMessage.KnownObjects;
import org.amaranthlock.entry.peer.EntryPeerMessage.StartQuery;
import org.amaranthlock.entry.peer.EntryPeerMessage.StartState;
import org.amaranthlock.platform.StorePosition;

/**
 * Responds to the queries of starting hosts with the state of the store as known to this host, and its age.
 *
 * <p>Targets are sent only by a host that watches them in the store itself, because only that host knows when a call
 * confirmed them. All calls are on the control loop.
 */
public final class StartStateServer {
    /** Maximum number of waiting queries; further ones are answered at once with what is known. */
    private static final int MAX_PENDING_QUERIES = 1_000;

    /**
     * Time after the creation for which queries wait for the verdicts; bounded, as the store may reject only the calls
     * for these.
     */
    private static final long VERDICT_WAIT_MILLIS = 1_000;

    private final Executor controlLoop;
    private final ConfigurationPoller configurationPoller;
    private final TargetWatcher targetWatcher;
    private final PeerStoreServer peerStoreServer;
    private final PromptPartExchange promptPartExchange;
    private final Supplier<ClockReading> clock;
    private final ClockReading createdAt;
    private final List<PendingQuery> pendingQueries = new ArrayList<>();

    private record PendingQuery(long id, ClockReading receivedAt, Consumer<EntryPeerMessage> reply) {}

    /** Creates a server that measures the intervals in its responses with {@code clock}. */
    public StartStateServer(
            Executor controlLoop,
            ConfigurationPoller configurationPoller,
            TargetWatcher targetWatcher,
            PeerStoreServer peerStoreServer,
            PromptPartExchange promptPartExchange,
            Supplier<ClockReading> clock) {
        this.controlLoop = Objects.requireNonNull(controlLoop, "control loop");
        this.configurationPoller = Objects.requireNonNull(configurationPoller, "configuration poller");
        this.targetWatcher = Objects.requireNonNull(targetWatcher, "target watcher");
        this.peerStoreServer = Objects.requireNonNull(peerStoreServer, "peer store server");
        this.promptPartExchange = Objects.requireNonNull(promptPartExchange, "prompt part exchange");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.createdAt = clock.get();
    }

    /** Handles the query of a starting host. */
    public void handleQuery(StartQuery query, Consumer<EntryPeerMessage> reply) {
        PendingQuery pending = new PendingQuery(query.id(), clock.get(), reply);
        if (query.mayWait() && !isStarted() && pendingQueries.size() < MAX_PENDING_QUERIES) {
            pendingQueries.add(pending);
        } else {
            respond(pending);
        }
    }

    /** Responds to the waiting queries if the last missing part has become known; may be called on any thread. */
    public void onPartKnown() {
        controlLoop.execute(() -> {
            if (isStarted()) {
                List<PendingQuery> pending = List.copyOf(pendingQueries);
                pendingQueries.clear();
                pending.forEach(this::respond);
            }
        });
    }

    private boolean isStarted() {
        boolean awaitsVerdicts =
                !promptPartExchange.knowsVerdicts() && createdAt.leastMillisUntil(clock.get()) < VERDICT_WAIT_MILLIS;
        return configurationPoller.known().isPresent() && targetWatcher.isStarted() && !awaitsVerdicts;
    }

    private void respond(PendingQuery query) {
        if (promptPartExchange.knowsVerdicts()) {
            promptPartExchange.fullReport(
                    report -> query.reply().accept(affordable(state(query, Optional.of(report)))));
        } else {
            query.reply().accept(affordable(state(query, Optional.empty())));
        }
    }

    /** Returns what of a state the link has room for: all of it, all but the targets, or nothing. */
    private StartState affordable(StartState state) {
        StartState withoutTargets =
                new StartState(state.id(), state.configuration(), Optional.empty(), state.verdicts());
        if (peerStoreServer.hasRoomFor(state)) {
            return state;
        }
        return peerStoreServer.hasRoomFor(withoutTargets)
                ? withoutTargets
                : new StartState(state.id(), Optional.empty(), Optional.empty(), Optional.empty());
    }

    private StartState state(PendingQuery query, Optional<PromptPartReport> verdicts) {
        Optional<KnownObjects> configuration = configurationPoller
                .known()
                .map(object -> new KnownObjects(
                        List.of(object),
                        new StorePosition(StorePosition.UNKNOWN_ERA, object.revision()),
                        query.receivedAt().leastMillisUntil(configurationPoller.confirmedAt())));
        Optional<KnownObjects> targets = peerStoreServer
                .targetsConfirmedAt()
                .map(confirmedAt -> new KnownObjects(
                        targetWatcher.registrations(),
                        peerStoreServer.targetsPosition(),
                        query.receivedAt().leastMillisUntil(confirmedAt)));
        return new StartState(query.id(), configuration, targets, verdicts);
    }
}
