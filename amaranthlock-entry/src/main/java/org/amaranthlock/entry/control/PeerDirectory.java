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
import org.amaranthlock.platform.PeerEntry;
import org.amaranthlock.platform.PeerEntryDecoder;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StoreReply;

/** Registers this host in the store and finds the other entry hosts there. */
public final class PeerDirectory {
    /** Time between two lists; a stale list is enough, because news decide on nothing but the choice of engines. */
    private static final long LIST_MILLIS = 5_000;

    private static final long FIRST_LIST_MILLIS = 1_500;
    private static final long RETRY_MILLIS = 1_000;
    private static final long ANSWER_MILLIS = 1_000;

    private final PlatformStore store;
    private final EventLoop loop;
    private final String hostName;
    private final FailureDomain failureDomain;
    private final Consumer<Set<PeerEntry>> listener;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private Set<PeerEntry> known = Set.of();
    private PeerEntry own;

    /** Creates a directory whose calls run on {@code loop}. */
    public PeerDirectory(
            PlatformStore store,
            EventLoop loop,
            String hostName,
            FailureDomain failureDomain,
            Consumer<Set<PeerEntry>> listener,
            DecisionLog log,
            EntryMetrics metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.hostName = Objects.requireNonNull(hostName, "host name");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failure domain");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts to register under {@code address} (IP:PORT) and to list. */
    public void start(String address) {
        own = new PeerEntry(hostName, address, failureDomain);
        loop.execute(this::register);
        loop.schedule(this::list, FIRST_LIST_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void register() {
        store.write(PeerEntryDecoder.KIND, hostName, PeerEntryDecoder.encode(own), ANSWER_MILLIS, this::registered);
    }

    private void registered(StoreReply reply) {
        metrics.recordStoreCall("peer-write", reply.getClass().getSimpleName());
        if (!(reply instanceof StoreReply.Found)) {
            log.write("peer-entry-not-written", "reply", reply);
            loop.schedule(this::register, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void list() {
        store.listStale(PeerEntryDecoder.KIND, ANSWER_MILLIS, this::listed);
    }

    private void listed(StoreReply reply) {
        metrics.recordStoreCall("peer-list", reply.getClass().getSimpleName());
        if (reply instanceof StoreReply.Page page) {
            Set<PeerEntry> found = new LinkedHashSet<>();
            page.objects().forEach(object -> PeerEntryDecoder.decode(object).ifPresent(found::add));
            found.removeIf(entry -> entry.name().equals(hostName));
            if (!found.equals(known)) {
                known = found;
                log.write("peers-changed", "count", found.size());
                listener.accept(found);
            }
        }
        loop.schedule(this::list, LIST_MILLIS, TimeUnit.MILLISECONDS);
    }
}
