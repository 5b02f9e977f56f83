package org.amaranthlock.entry.control;

import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.Mechanisms;
import org.amaranthlock.coordination.forwarding.TargetRegistry;
import org.amaranthlock.coordination.forwarding.TargetTable;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoreReply;
import org.amaranthlock.platform.StoredObject;
import org.amaranthlock.platform.TargetRegistrationDecoder;

/** Lists the targets and then watches for changes, in the store or through a peer that watches the store. */
public final class TargetWatcher implements StoreLinkListener {
    /** Time for which the store waits for a change; a dead connection is detected only after it has elapsed. */
    private static final long WATCH_MILLIS = 4_000;

    private static final long CALL_TIMEOUT_MILLIS = 800;

    /**
     * Maximum age of the targets at a watching host before it detects that its watch has failed, in milliseconds. The
     * response to a watch confirms them as of the time at which the watch was sent.
     */
    static final long MAX_UNCONFIRMED_MILLIS = 2 * WATCH_MILLIS + CALL_TIMEOUT_MILLIS;

    private static final long RETRY_DELAY_MILLIS = 250;
    private static final long MAX_RETRY_DELAY_MILLIS = 1_000;

    /**
     * Delays before a query to a peer that does not know the changes is retried: the time for the peer to detect that
     * it is to watch, and the time for it to retry a failed call.
     */
    private static final List<Long> TAKEOVER_DELAYS_MILLIS = List.of(100L, RETRY_DELAY_MILLIS + 150);

    /** Time for the successor of a peer that cannot read the store to begin its own watch, in milliseconds. */
    private static final long SUCCESSOR_DELAY_MILLIS = 100;

    /** Time after an unanswered call for which a host that has peers leaves the store to them, in milliseconds. */
    private static final long SILENCE_MILLIS = 4_000;

    /** Delay after a change, so that one call returns several changes in quick succession. */
    private static final long COALESCE_DELAY_MILLIS = 250;

    /**
     * Duration of an outage of the store after which targets may be missing from it only because their registrations
     * expired.
     */
    private static final long OUTAGE_THRESHOLD_MILLIS = 1_000;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2; // half, so that an age does not overflow

    private final PlatformStore store;
    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final PeerStoreReader peerReader;
    private final PeerStoreServer peerStoreServer;
    private final Consumer<TargetTable> listener;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final TargetRegistry registry;
    private final RetryBackoff backoff = new RetryBackoff(RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
    private final Map<EntryTarget, Long> listing = new LinkedHashMap<>();

    /** Registrations as the store holds them, by name. */
    private final Map<String, StoredObject> registrations = new TreeMap<>();

    /** Position of the first page of the list under way; empty before that page. */
    private Optional<StorePosition> listPosition = Optional.empty();

    /** Position up to which the changes are known; empty before the first list. */
    private Optional<StorePosition> knownPosition = Optional.empty();

    /** Position from which the waiting watch continues; empty if none is waiting. */
    private Optional<StorePosition> watchedPosition = Optional.empty();

    /** Number of the current watch; the result of an earlier one is ignored. */
    private long watchNumber;

    /** Whether another call got no response while the current watch was waiting. */
    private boolean watchSuspect;

    /** Time of the last call that got no response and was followed by none that got one. */
    private long silentAtMillis = NEVER_MILLIS;

    private long failingSinceMillis = -1;
    private boolean started;

    /** Creates a watcher whose calls run on {@code loop}. */
    public TargetWatcher(
            PlatformStore store,
            EventLoop loop,
            LongSupplier clockMillis,
            PeerStoreReader peerReader,
            PeerStoreServer peerStoreServer,
            Consumer<TargetTable> listener,
            Mechanisms mechanisms,
            DecisionLog log,
            EntryMetrics metrics) {
        this.registry = new TargetRegistry(mechanisms);
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.peerReader = Objects.requireNonNull(peerReader, "peer reader");
        this.peerStoreServer = Objects.requireNonNull(peerStoreServer, "peer store server");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts listing and watching the targets. */
    public void start() {
        loop.execute(this::list);
    }

    /**
     * Starts watching from the registrations that another host has sent; called on the control loop.
     *
     * @param position position in the store from which changes follow
     * @param confirmedAt when the call that confirmed them was sent, or earlier
     */
    public void startFrom(Collection<StoredObject> known, StorePosition position, ClockReading confirmedAt) {
        listing.clear();
        registrations.clear();
        known.forEach(this::addListed);
        registry.applyList(listing, false, clockMillis.getAsLong());
        log.write("targets-received", "count", listing.size(), "revision", position.revision());
        peerStoreServer.onTargetsKnown(confirmedAt);
        publish();
        awaitChanges(position);
    }

    /** Returns the registrations as the store holds them; called on the control loop. */
    public List<StoredObject> registrations() {
        return List.copyOf(registrations.values());
    }

    /** Returns whether the targets are known. */
    public boolean isStarted() {
        return started;
    }

    private void addListed(StoredObject object) {
        registrations.put(object.name(), withoutUnusableContent(object));
        TargetRegistrationDecoder.decode(object).ifPresent(target -> listing.put(target, object.revision()));
    }

    /** Drops what another writer has stored, which may be long, and would be sent to each host that starts. */
    private static StoredObject withoutUnusableContent(StoredObject object) {
        return TargetRegistrationDecoder.decode(object).isPresent()
                ? object
                : new StoredObject(object.name(), object.revision(), MissingNode.getInstance());
    }

    private void list() {
        listing.clear();
        registrations.clear();
        peerStoreServer.onTargetsListSent();
        listPosition = Optional.empty();
        requestPage("");
    }

    private void requestPage(String after) {
        store.list(
                TargetRegistrationDecoder.KIND,
                after,
                CALL_TIMEOUT_MILLIS,
                relistingOnFault("list", this::onListReply));
    }

    private void onListReply(StoreReply reply) {
        metrics.recordStoreCall("target-list", reply.getClass().getSimpleName());
        if (!(reply instanceof StoreReply.Page page)) {
            recordFailure("list", reply);
            listLater();
            return;
        }
        // The watch starts at the position of the first page, so that no change made during the list is missed.
        StorePosition position = listPosition.orElse(page.position());
        listPosition = Optional.of(position);
        if (!page.position().continues(position)) {
            listAgain(position, page.position());
            return;
        }
        page.objects().forEach(this::addListed);
        if (page.next().isPresent()) {
            requestPage(page.next().get());
            return;
        }
        long now = clockMillis.getAsLong();
        // Targets that an older copy of the store lacks register again, as after an outage.
        boolean historyChanged =
                knownPosition.filter(known -> !known.isSameHistory(position)).isPresent();
        boolean outageEnded = recordSuccess();
        boolean afterOutage = outageEnded || historyChanged;
        registry.applyList(listing, afterOutage, now);
        log.write(
                "targets-listed",
                "count",
                listing.size(),
                "revision",
                position.revision(),
                "after_outage",
                afterOutage);
        peerStoreServer.onTargetsListed();
        publish();
        awaitChanges(position);
    }

    private void awaitChanges(StorePosition position) {
        knownPosition = Optional.of(position);
        awaitChanges(position, TAKEOVER_DELAYS_MILLIS.iterator());
    }

    /** Waits for changes; a peer that has just taken over the watch may not know the revision at the first query. */
    private void awaitChanges(StorePosition position, Iterator<Long> delays) {
        boolean querySent = peerReader.fetchTargetChanges(position, relistingOnFault("peer", changes -> {
            if (changes.isPresent()) {
                applyPeersChanges(position, changes.get());
            } else if (delays.hasNext()) {
                loop.schedule(() -> awaitChanges(position, delays), delays.next(), TimeUnit.MILLISECONDS);
            } else {
                awaitChangesOfSuccessor(position, true);
            }
        }));
        if (querySent) {
            peerStoreServer.onWatchStopped();
        } else {
            watch(position);
        }
    }

    /**
     * Waits for changes that the successor of the reader knows, so that one host of the domain watches in place of a
     * reader whose link to the store is cut; one that does not watch yet is asked once more.
     */
    private void awaitChangesOfSuccessor(StorePosition position, boolean again) {
        boolean querySent =
                peerReader.fetchTargetChangesFromSuccessor(position, relistingOnFault("successor", changes -> {
                    if (changes.isPresent()) {
                        applyPeersChanges(position, changes.get());
                    } else if (again) {
                        loop.schedule(
                                () -> awaitChangesOfSuccessor(position, false),
                                SUCCESSOR_DELAY_MILLIS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        watchUnlessSilent(position);
                    }
                }));
        if (!querySent) {
            watch(position);
        }
    }

    /**
     * Watches in place of peers that know no changes, unless the store is silent for this host too: while it is away,
     * each host of a fleet would otherwise watch, and list the targets afterwards.
     */
    private void watchUnlessSilent(StorePosition position) {
        if (clockMillis.getAsLong() - silentAtMillis < SILENCE_MILLIS) {
            loop.schedule(() -> awaitChanges(position), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            watch(position);
        }
    }

    private void watch(StorePosition position) {
        peerStoreServer.onWatchStarted(position);
        watchedPosition = Optional.of(position);
        watchSuspect = false;
        long number = ++watchNumber;
        store.watch(
                TargetRegistrationDecoder.KIND,
                position.revision(),
                WATCH_MILLIS,
                WATCH_MILLIS + CALL_TIMEOUT_MILLIS,
                relistingOnFault("watch", reply -> {
                    if (number == watchNumber) {
                        watchedPosition = Optional.empty();
                        onWatchReply(position, reply);
                    }
                }));
    }

    /**
     * Handles a call to the store that got no response. The connection of the waiting watch may have gone silent as well,
     * so that other hosts must not rely on it.
     */
    @Override
    public void onStoreSilent() {
        silentAtMillis = clockMillis.getAsLong();
        if (watchedPosition.isPresent()) {
            watchSuspect = true;
            peerStoreServer.onWatchStopped();
        }
    }

    /** Handles a response of the store; a watch that has become suspect is sent again, on another connection. */
    @Override
    public void onStoreResponded() {
        silentAtMillis = NEVER_MILLIS;
        if (watchedPosition.isPresent() && watchSuspect) {
            log.write("target-watch-repeated", "revision", watchedPosition.get().revision());
            watch(watchedPosition.get());
        }
    }

    private void onWatchReply(StorePosition watched, StoreReply reply) {
        metrics.recordStoreCall("target-watch", reply.getClass().getSimpleName());
        switch (reply) {
            case StoreReply.Changes changes
            when !changes.position().continues(watched) -> listAgain(watched, changes.position());
            case StoreReply.Changes changes -> {
                applyChanges(changes);
                peerStoreServer.onTargetsChanged(changes.changes(), changes.position());
                long pause = changes.changes().isEmpty() ? 0 : COALESCE_DELAY_MILLIS;
                loop.schedule(() -> awaitChanges(changes.position()), pause, TimeUnit.MILLISECONDS);
            }
            default -> {
                recordFailure("watch", reply);
                listLater();
            }
        }
    }

    /**
     * Returns a handler that lists the targets anew if {@code handler} fails. The next call is only sent from such a
     * handler, so that an exception would end the watch for good.
     */
    private <T> Consumer<T> relistingOnFault(String call, Consumer<T> handler) {
        return result -> {
            try {
                handler.accept(result);
            } catch (RuntimeException e) {
                log.write("target-entries-fault", "call", call, "cause", e);
                listLater();
            }
        };
    }

    /** Applies the changes that a peer knows, unless the store has begun another history since this host's list. */
    private void applyPeersChanges(StorePosition known, StoreReply.Changes changes) {
        if (changes.position().continues(known)) {
            applyChanges(changes);
            awaitChanges(changes.position());
        } else {
            listAgain(known, changes.position());
        }
    }

    /** Lists the targets anew, because the store came back from an older copy, whose revisions mean other changes. */
    private void listAgain(StorePosition known, StorePosition found) {
        log.write("store-history-changed", "known", known, "found", found);
        listLater();
    }

    private void listLater() {
        peerStoreServer.onWatchStopped();
        loop.schedule(this::list, backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    private void applyChanges(StoreReply.Changes changes) {
        recordSuccess();
        changes.changes().forEach(this::applyChange);
        if (!changes.changes().isEmpty() || registry.hasPendingReregistrations()) {
            publish();
        }
    }

    private void applyChange(StoreChange change) {
        long now = clockMillis.getAsLong();
        StoredObject object = change.object();
        StoredObject registered = registrations.get(object.name());
        if (registered == null || registered.revision() <= object.revision()) {
            registrations.compute(object.name(), (_, _) -> change.removed() ? null : withoutUnusableContent(object));
        }
        Optional<EntryTarget> target = change.removed() ? Optional.empty() : TargetRegistrationDecoder.decode(object);
        if (target.isPresent()) {
            registry.applyChange(target.get(), object.revision(), now);
        } else {
            TargetRegistrationDecoder.targetId(object)
                    .ifPresent(id -> registry.applyRemoval(id, object.revision(), now));
        }
        log.write(
                "target-changed",
                "target",
                object.name(),
                "revision",
                object.revision(),
                "state",
                target.map(found -> found.draining() ? "draining" : "ready").orElse("gone"),
                "software",
                target.map(found -> found.version().toString()).orElse("-"));
    }

    private void publish() {
        started = true;
        listener.accept(registry.table(clockMillis.getAsLong()));
        if (registry.hasPendingReregistrations()) {
            loop.schedule(
                    () -> listener.accept(registry.table(clockMillis.getAsLong())),
                    TargetRegistry.REREGISTRATION_GRACE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void recordFailure(String call, StoreReply reply) {
        if (failingSinceMillis < 0) {
            failingSinceMillis = clockMillis.getAsLong();
            log.write("target-entries-lost", "call", call, "reply", reply);
        }
    }

    /** Records a successful call and returns whether it ends an outage of at least {@link #OUTAGE_THRESHOLD_MILLIS}. */
    private boolean recordSuccess() {
        backoff.reset();
        if (failingSinceMillis < 0) {
            return false;
        }
        long outage = clockMillis.getAsLong() - failingSinceMillis;
        failingSinceMillis = -1;
        log.write("target-entries-regained", "after_ms", outage);
        return outage >= OUTAGE_THRESHOLD_MILLIS;
    }
}
