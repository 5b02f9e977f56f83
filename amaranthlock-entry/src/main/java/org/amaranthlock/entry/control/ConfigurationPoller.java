package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.coordination.forwarding.EntryConfiguration;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.ConfigurationDecoder;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StoreReply;
import org.amaranthlock.platform.StoredObject;

/**
 * Polls the configuration from the store, or from a peer that polls the store.
 *
 * <p>The time of a confirmation by a peer is counted from the sending of the query by intervals that the peer measures,
 * so that neither a suspension of the peer nor a slow connection makes the cached configuration look newer than it is. A configuration
 * that this host does not know yet is read from the store. However its peers fail, the host sends a read of its own when
 * the last confirmation has reached the age of {@link ConfigurationPollTimes#maxUnconfirmedMillis()}.
 *
 * <p>A read that is lost on a connection that earlier calls have used is repeated at once, on a new one, if no peer has
 * answered since the last confirmation either: one event may have silenced all connections, so that peers can neither
 * confirm nor announce a version. If peers answer, the store may be away, and each host would repeat its read.
 *
 * <p>A read is at least as recent as its call, so it also confirms that the known configuration is the newest. A watch
 * without events does not confirm this, because the store may have dropped the watch.
 *
 * <p>A host that finds a new version announces it to the other hosts, which read the store at once: hosts that serve
 * requests for one another must not apply a change far apart. A version that another host announced is not announced
 * again.
 */
public final class ConfigurationPoller {
    /** Number of queries to a peer between two reads after a failed one; reads show whether the store is reachable. */
    private static final int MAX_QUERIES_PER_READ = 3;

    private final PlatformStore store;
    private final EventLoop loop;
    private final Supplier<ClockReading> clock;
    private final ConfigurationPollTimes times;
    private final RetryBackoff backoff;
    private final PeerStoreReader peerReader;
    private final PeerStoreServer peerStoreServer;
    private final StoreLinkListener linkListener;
    private final ConfigurationListener listener;
    private final LongConsumer announcer;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private EntryConfiguration knownConfiguration;
    private StoredObject knownObject;
    private ObjectVersion knownVersion;
    private ClockReading confirmedAt;
    private boolean lastReadUsable = true;

    /** Number of reads that have failed since the last one that succeeded. */
    private int failedReads;

    private int queriesSinceRead;

    /** Number of queries that peers had answered when the configuration was confirmed last. */
    private long answeredAtConfirmation;

    /** Whether a read was repeated at once since the last confirmation. */
    private boolean readRepeated;

    /** Number of the current step; a result or timer of an earlier step is ignored. */
    private int step;

    private Future<?> scheduled;
    private boolean reading;

    /** Newest version that another host has announced. */
    private long announcedVersion = Long.MIN_VALUE;

    /** Whether a version was announced while a read was under way, which may have come too early to see it. */
    private boolean announcedWhileReading;

    /** Where a configuration came from, for logs. */
    private enum Source {
        STORE,
        PEER,
        /** A peer that told this host what it knew when this one started. */
        START
    }

    /** Listener for confirmed configurations. */
    public interface ConfigurationListener {
        /** Called when a call sent at {@code sentAtMillis} has confirmed that this configuration is the newest. */
        void onConfigurationConfirmed(EntryConfiguration configuration, long sentAtMillis);
    }

    /**
     * Creates a poller whose calls run on {@code loop}.
     *
     * @param announcer receives each version that this host has found by itself, to announce it to the other hosts
     */
    public ConfigurationPoller(
            PlatformStore store,
            EventLoop loop,
            Supplier<ClockReading> clock,
            ConfigurationPollTimes times,
            PeerStoreReader peerReader,
            PeerStoreServer peerStoreServer,
            StoreLinkListener linkListener,
            ConfigurationListener listener,
            LongConsumer announcer,
            DecisionLog log,
            EntryMetrics metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.confirmedAt = clock.get();
        this.times = Objects.requireNonNull(times, "times");
        this.backoff = new RetryBackoff(times.retryDelayMillis(), times.intervalMillis());
        this.peerReader = Objects.requireNonNull(peerReader, "peer reader");
        this.peerStoreServer = Objects.requireNonNull(peerStoreServer, "peer store server");
        this.linkListener = Objects.requireNonNull(linkListener, "link listener");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.announcer = Objects.requireNonNull(announcer, "announcer");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts polling. */
    public void start() {
        loop.execute(this::read);
    }

    /**
     * Starts polling from a configuration that another host has sent, unless it is so old that a host would read the
     * store itself; called on the control loop.
     *
     * @param sentAt when the call that confirmed it was sent, or earlier
     * @return whether polling has started
     */
    public boolean startFrom(StoredObject object, ClockReading sentAt) {
        if (clock.get().millisSince(sentAt) >= times.maxUnconfirmedMillis() || !confirm(object, sentAt, Source.START)) {
            return false;
        }
        if (knownConfiguration.version() < announcedVersion) {
            read();
        } else {
            confirmAgain();
        }
        return true;
    }

    /** Returns the known configuration as the store holds it; called on the control loop. */
    public Optional<StoredObject> known() {
        return Optional.ofNullable(knownObject);
    }

    /** Returns the known version; {@link Long#MIN_VALUE} if none is known. Called on the control loop. */
    public long knownVersion() {
        return knownConfiguration == null ? Long.MIN_VALUE : knownConfiguration.version();
    }

    /** Returns when the call was sent that confirmed the known configuration last. */
    public ClockReading confirmedAt() {
        return confirmedAt;
    }

    /**
     * Reads a newer version at once that another host knows, from the store or from the peer that reads it for this
     * region; called on the control loop.
     */
    public void onVersionAnnounced(long version) {
        boolean known = knownConfiguration != null && version <= knownConfiguration.version();
        if (known || version <= announcedVersion) {
            return;
        }
        announcedVersion = version;
        if (reading) {
            announcedWhileReading = true;
        } else if (knownConfiguration != null) {
            log.write("configuration-announced", "version", version, "known", knownConfiguration.version());
            fetchOrRead();
        }
    }

    /**
     * Gets the announced version from the peer that reads the store for this region, if there is one and the time
     * suffices for a read of this host's own after that; a silent peer thus delays no change beyond its bound.
     */
    private void fetchOrRead() {
        ClockReading sentAt = clock.get();
        long wait = times.callTimeoutMillis();
        int current = ++step;
        boolean querySent = clock.get().millisSince(confirmedAt) + wait < times.maxUnconfirmedMillis()
                && peerReader.fetchConfiguration(announcedVersion, wait, pollingOnFault("fetch", fetched -> {
                    if (current == step) {
                        onFetched(fetched, sentAt);
                    }
                }));
        if (querySent) {
            peerStoreServer.onConfigurationUnavailable();
            schedule(this::read, wait);
        } else {
            read();
        }
    }

    private void onFetched(Optional<EntryPeerMessage.ConfigurationFetched> fetched, ClockReading sentAt) {
        boolean usable = fetched.filter(found ->
                                confirm(found.object(), confirmedByPeer(sentAt, found.readAfterMillis()), Source.PEER))
                        .isPresent()
                && knownConfiguration.version() >= announcedVersion;
        metrics.recordStoreCall("configuration-fetch", usable ? "Found" : "NotKnown");
        if (usable) {
            confirmAgain();
        } else {
            read();
        }
    }

    /** Has the known configuration confirmed, by a peer if there is one that reads the store. */
    private void confirmAgain() {
        int current = ++step;
        ClockReading sentAt = clock.get();
        boolean querySent = peerReader.confirmConfiguration(knownVersion, pollingOnFault("peer", readAfter -> {
            if (current == step) {
                onPeerReply(readAfter, sentAt);
            }
        }));
        if (querySent) {
            peerStoreServer.onConfigurationUnavailable();
            scheduleReadAtAge(times.maxUnconfirmedMillis());
        } else {
            peerStoreServer.onConfigurationReadPlanned(knownVersion);
            scheduleReadAtAge(times.intervalMillis());
        }
    }

    private void onPeerReply(OptionalLong readAfterMillis, ClockReading sentAt) {
        if (readAfterMillis.isEmpty()) {
            retryQueryOrRead();
            return;
        }
        backoff.reset();
        queriesSinceRead = 0;
        readRepeated = false;
        recordUsable(true, "peer");
        confirmedAt = confirmedByPeer(sentAt, readAfterMillis.getAsLong());
        answeredAtConfirmation = peerReader.answeredQueries();
        listener.onConfigurationConfirmed(knownConfiguration, confirmedAt.inclusiveMillis());
        confirmAgain();
    }

    /**
     * Returns when a peer sent the call that confirms the configuration, after a query of this host. A peer of an earlier
     * build may tell too long an interval, but the call was sent before its response.
     */
    private ClockReading confirmedByPeer(ClockReading querySentAt, long readAfterMillis) {
        ClockReading now = clock.get();
        ClockReading told = querySentAt.plusMillis(readAfterMillis);
        long aheadMillis = now.leastMillisUntil(told);
        if (aheadMillis > 0) {
            log.write("configuration-confirmed-ahead", "known", knownVersion(), "ms", aheadMillis);
        }
        return told.min(now);
    }

    /**
     * Handles a peer that does not know this configuration. It may be about to read a change that this host already
     * knows, or to take over from a disconnected reader.
     */
    private void retryQueryOrRead() {
        long nextAge = clock.get().millisSince(confirmedAt) + times.retryDelayMillis();
        if (nextAge < times.maxUnconfirmedMillis()) {
            schedule(this::confirmAgain, times.retryDelayMillis());
        } else {
            read();
        }
    }

    private void scheduleReadAtAge(long ageMillis) {
        schedule(this::read, ageMillis - clock.get().millisSince(confirmedAt));
    }

    private void schedule(Runnable action, long delayMillis) {
        cancelScheduled();
        scheduled = loop.schedule(action, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns a handler that reads the store again if {@code handler} fails. The next call is only sent from such a
     * handler, so that an exception would end the polling for good.
     */
    private <T> Consumer<T> pollingOnFault(String call, Consumer<T> handler) {
        return result -> {
            try {
                handler.accept(result);
            } catch (RuntimeException e) {
                log.write("configuration-fault", "call", call, "cause", e);
                schedule(this::read, backoff.nextDelayMillis());
            }
        };
    }

    private void cancelScheduled() {
        if (scheduled != null) {
            scheduled.cancel(false);
        }
    }

    private void read() {
        step++;
        cancelScheduled();
        reading = true;
        announcedWhileReading = false;
        ClockReading sentAt = clock.get();
        store.read(
                ConfigurationDecoder.KIND,
                ConfigurationDecoder.NAME,
                times.callTimeoutMillis(),
                pollingOnFault("read", reply -> onReadReply(reply, sentAt)));
    }

    private void onReadReply(StoreReply reply, ClockReading sentAt) {
        reading = false;
        metrics.recordStoreCall("configuration", reply.getClass().getSimpleName());
        boolean usable = reply instanceof StoreReply.Found found && confirm(found.object(), sentAt, Source.STORE);
        recordUsable(usable, describe(reply));
        if (reply instanceof StoreReply.Unanswered) {
            linkListener.onStoreSilent();
        } else {
            linkListener.onStoreResponded();
        }
        if (!usable) {
            recordFailedRead(reply);
            peerStoreServer.onConfigurationReadFailed();
            if (isLostWithConnections(reply)) {
                read();
                peerReader.giveUpQueries();
            } else {
                schedule(this::queryOrRead, backoff.nextDelayMillis());
            }
            return;
        }
        failedReads = 0;
        queriesSinceRead = 0;
        readRepeated = false;
        backoff.reset();
        peerStoreServer.onConfigurationRead(knownVersion, sentAt);
        if (announcedWhileReading && knownConfiguration.version() < announcedVersion) {
            read();
        } else {
            confirmAgain();
        }
    }

    /**
     * Retries a failed read. If a peer reads the store for this host, most retries are queries to that peer: while the
     * store is unavailable, each host of the fleet would otherwise retry its reads there. A version that another host
     * has announced is read in the store, since the peer may not know it yet. The peer may be the one that the store
     * does not answer; so one host of the domain repeats its read once, and announces to the others what it finds.
     */
    private void queryOrRead() {
        int current = ++step;
        ClockReading sentAt = clock.get();
        boolean repeatsRead = !readRepeated && peerReader.isSuccessor();
        readRepeated |= repeatsRead;
        boolean querySent = knownConfiguration != null
                && !repeatsRead
                && knownConfiguration.version() >= announcedVersion
                && queriesSinceRead < MAX_QUERIES_PER_READ
                && peerReader.confirmConfiguration(knownVersion, pollingOnFault("peer", readAfter -> {
                    if (current == step && readAfter.isPresent()) {
                        onPeerReply(readAfter, sentAt);
                    }
                }));
        if (!querySent) {
            queriesSinceRead = 0;
            read();
            return;
        }
        queriesSinceRead++;
        peerStoreServer.onConfigurationUnavailable();
        schedule(this::queryOrRead, times.intervalMillis());
    }

    /** Returns whether an event may have silenced this host's connections to the store and to its peers alike. */
    private boolean isLostWithConnections(StoreReply reply) {
        return reply instanceof StoreReply.Unanswered unanswered
                && unanswered.keptConnection()
                && peerReader.answeredQueries() == answeredAtConfirmation;
    }

    private void recordFailedRead(StoreReply reply) {
        failedReads++;
        log.write(
                "configuration-read-failed",
                "failed",
                failedReads,
                "known",
                knownVersion(),
                "announced",
                announcedVersion == Long.MIN_VALUE ? "-" : announcedVersion,
                "age_ms",
                knownConfiguration == null ? "-" : clock.get().millisSince(confirmedAt),
                "reply",
                describe(reply));
    }

    private void recordUsable(boolean usable, String reply) {
        if (usable != lastReadUsable) {
            lastReadUsable = usable;
            log.write(usable ? "configuration-regained" : "configuration-lost", "reply", reply);
        }
    }

    /**
     * Reports the configuration as confirmed; returns false if the object cannot be decoded, or if its version is older
     * than the known one.
     */
    private boolean confirm(StoredObject object, ClockReading sentAt, Source source) {
        if (!isKnown(object)) {
            if (!apply(object)) {
                return false;
            }
            log.write(
                    "configuration-known",
                    "version",
                    knownConfiguration.version(),
                    "source",
                    source,
                    "age_ms",
                    clock.get().millisSince(sentAt),
                    "failed_reads",
                    failedReads);
        }
        confirmedAt = sentAt;
        answeredAtConfirmation = peerReader.answeredQueries();
        listener.onConfigurationConfirmed(knownConfiguration, sentAt.inclusiveMillis());
        return true;
    }

    /**
     * Returns whether an object is the known one. A store that came back from an older copy gives out its revisions
     * again, so a lower one may be new, and an equal one may stand for another content.
     */
    private boolean isKnown(StoredObject object) {
        return knownObject != null
                && object.revision() == knownObject.revision()
                && object.spec().equals(knownObject.spec());
    }

    private boolean apply(StoredObject object) {
        EntryConfiguration decoded;
        try {
            decoded = ConfigurationDecoder.decode(object);
        } catch (IllegalArgumentException e) {
            log.write("configuration-unreadable", "revision", object.revision(), "cause", e.getMessage());
            return false;
        }
        if (knownConfiguration != null && decoded.version() < knownConfiguration.version()) {
            log.write("configuration-older", "version", decoded.version(), "known", knownConfiguration.version());
            return false;
        }
        boolean announce = knownConfiguration != null
                && decoded.version() > knownConfiguration.version()
                && decoded.version() > announcedVersion;
        knownConfiguration = decoded;
        knownObject = object;
        knownVersion = ObjectVersion.of(object);
        if (announce) {
            announcer.accept(decoded.version());
        }
        return true;
    }

    private static String describe(StoreReply reply) {
        return reply instanceof StoreReply.Found ? "found" : reply.toString();
    }
}
