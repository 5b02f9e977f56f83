package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.platform.PeerRegistration;
import org.amaranthlock.platform.PeerRegistrationCodec;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StoreReply;
import org.apache.commons.rng.UniformRandomProvider;

/** Keeps this host registered in the store and periodically lists the other entry hosts registered there. */
public final class PeerDirectory {
    /** Least interval between two lists; a stale list suffices, since a host that starts connects to the others. */
    private static final long MIN_LIST_INTERVAL_MILLIS = 5_000;

    /** Interval between two lists for each registered host, so that the calls of a fleet do not grow with its size. */
    private static final long LIST_INTERVAL_MILLIS_PER_HOST = 1_000;

    /** Maximum interval, unless a longer one is needed to keep the calls of the fleet below four per second. */
    private static final long MAX_LIST_INTERVAL_MILLIS = 30_000;

    private static final long LEAST_LIST_INTERVAL_MILLIS_PER_HOST = 250;

    /** Longest delay of a list after an unknown host has reported; the hosts that heard of it do not list at once. */
    private static final long UNKNOWN_HOST_DELAY_MILLIS = 1_500;

    private static final long FIRST_LIST_DELAY_MILLIS = 1_500;
    private static final long RETRY_DELAY_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private final PlatformStore store;
    private final EventLoop loop;
    private final String hostName;
    private final FailureDomain failureDomain;
    private final Consumer<Set<PeerRegistration>> earlyListener;
    private final Consumer<Set<PeerRegistration>> listener;
    private final UniformRandomProvider random;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Set<PeerRegistration> listing = new LinkedHashSet<>();
    private Set<PeerRegistration> peers = Set.of();
    private boolean published;
    private boolean listFailing;
    private boolean listedEarly;
    private boolean listsAfterWrite;
    private PeerRegistration localRegistration;

    /** Next list; null while one is under way. */
    private ScheduledFuture<?> nextList;

    /**
     * Creates a directory whose calls run on {@code loop}.
     *
     * @param earlyListener receives the hosts that are registered when this one starts, to connect to them; more follow
     *     while a fleet starts
     * @param listener receives each change of the registered hosts
     */
    public PeerDirectory(
            PlatformStore store,
            EventLoop loop,
            String hostName,
            FailureDomain failureDomain,
            Consumer<Set<PeerRegistration>> earlyListener,
            Consumer<Set<PeerRegistration>> listener,
            UniformRandomProvider random,
            DecisionLog log,
            EntryMetrics metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.hostName = Objects.requireNonNull(hostName, "host name");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failure domain");
        this.earlyListener = Objects.requireNonNull(earlyListener, "early listener");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.random = Objects.requireNonNull(random, "random");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /**
     * Starts listing the other hosts, and registers this one under {@code address} (IP:PORT) unless it is on the list.
     * If it is, its fleet was registered before too, so the list is complete.
     */
    public void start(String address) {
        localRegistration = new PeerRegistration(hostName, address, failureDomain);
        loop.execute(() -> {
            listing.clear();
            requestPage("", this::onFirstListReply);
        });
    }

    /**
     * Lists the hosts soon, because one reports that was not listed, but not again within {@link
     * #MIN_LIST_INTERVAL_MILLIS}: the list may be stale. Called on the control loop.
     */
    public void onUnknownHost(String host) {
        if (!listedEarly && nextList != null && nextList.getDelay(TimeUnit.MILLISECONDS) > UNKNOWN_HOST_DELAY_MILLIS) {
            log.write("peer-unknown", "peer", host, "known", peers.size());
            listedEarly = true;
            loop.schedule(() -> listedEarly = false, MIN_LIST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            nextList.cancel(false);
            scheduleList(random.nextLong(UNKNOWN_HOST_DELAY_MILLIS));
        }
    }

    private void scheduleList(long delayMillis) {
        nextList = loop.schedule(this::list, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void scheduleNextList() {
        int hosts = peers.size() + 1;
        long interval = Math.min(MAX_LIST_INTERVAL_MILLIS, hosts * LIST_INTERVAL_MILLIS_PER_HOST);
        scheduleList(
                Math.max(MIN_LIST_INTERVAL_MILLIS, Math.max(interval, hosts * LEAST_LIST_INTERVAL_MILLIS_PER_HOST)));
    }

    private void register() {
        store.write(
                PeerRegistrationCodec.KIND,
                hostName,
                PeerRegistrationCodec.encode(localRegistration),
                CALL_TIMEOUT_MILLIS,
                this::onWriteReply);
    }

    private void onWriteReply(StoreReply reply) {
        metrics.recordStoreCall("peer-write", reply.getClass().getSimpleName());
        if (!(reply instanceof StoreReply.Found)) {
            log.write("peer-entry-not-written", "reply", reply);
            loop.schedule(this::register, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } else if (listsAfterWrite) {
            listAfterWrite();
        }
    }

    /**
     * Handles a page of the first list. If this host is on the list, it is restarting after a crash, and needs the
     * state of the others at once.
     */
    private void onFirstListReply(StoreReply reply) {
        metrics.recordStoreCall("peer-list", reply.getClass().getSimpleName());
        if (!(reply instanceof StoreReply.Page page)) {
            log.write("peers-not-listed", "known", 0, "reply", reply);
            register();
            scheduleList(FIRST_LIST_DELAY_MILLIS);
            return;
        }
        page.objects().forEach(object -> PeerRegistrationCodec.decode(object).ifPresent(listing::add));
        if (page.next().isPresent()) {
            requestPage(page.next().get(), this::onFirstListReply);
            return;
        }
        earlyListener.accept(withoutThisHost(listing));
        if (listing.contains(localRegistration)) {
            publish();
            scheduleNextList();
        } else {
            listsAfterWrite = true;
            register();
            scheduleList(FIRST_LIST_DELAY_MILLIS);
        }
    }

    /**
     * Lists once more when the registration of this host has been written for the first time: of two hosts that start
     * together, the one that wrote later finds the other.
     */
    private void listAfterWrite() {
        listsAfterWrite = false;
        store.listStale(PeerRegistrationCodec.KIND, "", CALL_TIMEOUT_MILLIS, reply -> {
            metrics.recordStoreCall("peer-list", reply.getClass().getSimpleName());
            if (reply instanceof StoreReply.Page page && !published) {
                Set<PeerRegistration> listed = new LinkedHashSet<>(listing);
                page.objects()
                        .forEach(object -> PeerRegistrationCodec.decode(object).ifPresent(listed::add));
                earlyListener.accept(withoutThisHost(listed));
            }
        });
    }

    private Set<PeerRegistration> withoutThisHost(Set<PeerRegistration> registrations) {
        Set<PeerRegistration> others = new LinkedHashSet<>(registrations);
        others.removeIf(registration -> registration.name().equals(hostName));
        return others;
    }

    private void list() {
        nextList = null;
        listing.clear();
        requestPage("", this::onListReply);
    }

    private void requestPage(String afterName, Consumer<StoreReply> onReply) {
        store.listStale(PeerRegistrationCodec.KIND, afterName, CALL_TIMEOUT_MILLIS, onReply);
    }

    private void onListReply(StoreReply reply) {
        metrics.recordStoreCall("peer-list", reply.getClass().getSimpleName());
        if (!(reply instanceof StoreReply.Page page)) {
            if (!listFailing) {
                log.write("peers-not-listed", "known", peers.size(), "reply", reply);
            }
            listFailing = true;
            scheduleList(MIN_LIST_INTERVAL_MILLIS);
            return;
        }
        page.objects().forEach(object -> PeerRegistrationCodec.decode(object).ifPresent(listing::add));
        if (page.next().isPresent()) {
            requestPage(page.next().get(), this::onListReply);
            return;
        }
        listFailing = false;
        registerAgainIfMissing();
        publish();
        scheduleNextList();
    }

    /**
     * Registers this host again if the store no longer has its registration. A stale list may be older than the
     * registration; then the same content is written again, which changes nothing.
     */
    private void registerAgainIfMissing() {
        if (!listing.contains(localRegistration)) {
            log.write("peer-entry-missing", "host", hostName, "listed", listing.size());
            register();
        }
    }

    private void publish() {
        Set<PeerRegistration> listed = withoutThisHost(listing);
        if (!published || !listed.equals(peers)) {
            published = true;
            peers = listed;
            log.write("peers-changed", "count", listed.size());
            listener.accept(listed);
        }
    }
}
