package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.platform.PeerRegistration;
import org.amaranthlock.platform.PeerRegistrationCodec;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StoreReply;

/** Keeps this host registered in the store and periodically lists the other entry hosts registered there. */
public final class PeerDirectory {
    /** Interval between two lists; a stale list suffices, because load reports affect only the choice of engines. */
    private static final long LIST_INTERVAL_MILLIS = 5_000;

    private static final long FIRST_LIST_DELAY_MILLIS = 1_500;
    private static final long RETRY_DELAY_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private final PlatformStore store;
    private final EventLoop loop;
    private final String hostName;
    private final FailureDomain failureDomain;
    private final Consumer<Set<PeerRegistration>> earlyListener;
    private final Consumer<Set<PeerRegistration>> listener;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Set<PeerRegistration> listing = new LinkedHashSet<>();
    private Set<PeerRegistration> peers = Set.of();
    private boolean published;
    private boolean listFailing;
    private PeerRegistration localRegistration;

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
            DecisionLog log,
            EntryMetrics metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.hostName = Objects.requireNonNull(hostName, "host name");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failure domain");
        this.earlyListener = Objects.requireNonNull(earlyListener, "early listener");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts registering this host under {@code address} (IP:PORT) and listing the other hosts. */
    public void start(String address) {
        localRegistration = new PeerRegistration(hostName, address, failureDomain);
        loop.execute(this::register);
        loop.execute(this::listEarly);
        loop.schedule(this::list, FIRST_LIST_DELAY_MILLIS, TimeUnit.MILLISECONDS);
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
        }
    }

    /**
     * Lists the hosts at once, since a host that has been killed needs what the others know. The first page suffices for
     * that, and a failure too, because the regular list follows.
     */
    private void listEarly() {
        store.listStale(PeerRegistrationCodec.KIND, "", CALL_TIMEOUT_MILLIS, reply -> {
            metrics.recordStoreCall("peer-list", reply.getClass().getSimpleName());
            if (!(reply instanceof StoreReply.Page)) {
                log.write("peers-not-listed", "known", 0, "reply", reply);
            }
            if (reply instanceof StoreReply.Page page && !published) {
                Set<PeerRegistration> listed = new LinkedHashSet<>();
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
        listing.clear();
        requestPage("");
    }

    private void requestPage(String afterName) {
        store.listStale(PeerRegistrationCodec.KIND, afterName, CALL_TIMEOUT_MILLIS, this::onListReply);
    }

    private void onListReply(StoreReply reply) {
        metrics.recordStoreCall("peer-list", reply.getClass().getSimpleName());
        if (!(reply instanceof StoreReply.Page page)) {
            if (!listFailing) {
                log.write("peers-not-listed", "known", peers.size(), "reply", reply);
            }
            listFailing = true;
            loop.schedule(this::list, LIST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        page.objects().forEach(object -> PeerRegistrationCodec.decode(object).ifPresent(listing::add));
        if (page.next().isPresent()) {
            requestPage(page.next().get());
            return;
        }
        listFailing = false;
        registerAgainIfMissing();
        publish();
        loop.schedule(this::list, LIST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
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
