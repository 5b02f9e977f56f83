package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.rollout.RolloutOrder;
import org.amaranthlock.coordination.rollout.RolloutStep;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.RolloutCodec;
import org.amaranthlock.platform.RolloutCodec.StoredOrder;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoreReply;
import org.amaranthlock.platform.StoredObject;

/**
 * Keeps the orders of roll-outs up to date: one host of each failure domain, the reader, lists and watches them in the
 * store and sends them to the others, at each change and periodically. While it can't reach the store it sends nothing,
 * so that another host becomes the reader. All calls are on the control loop.
 */
public final class RolloutWatcher {
    /** Time for which the store waits for a change, in milliseconds; long, as each call is charged. */
    private static final long WATCH_MILLIS = 30_000;

    private static final long CALL_TIMEOUT_MILLIS = 800;
    private static final long RETRY_DELAY_MILLIS = 500;
    private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

    /**
     * Interval of the messages to the other hosts of the domain, which also show that the reader is alive, in
     * milliseconds.
     */
    private static final long SEND_INTERVAL_MILLIS = 2_000;

    /** Time without such a message after which another host becomes the reader, in milliseconds. */
    private static final long READER_SILENCE_MILLIS = 7_000;

    /** Time after the start before this host may become the reader, in milliseconds; peers are connected meanwhile. */
    private static final long START_DELAY_MILLIS = 3_000;

    /**
     * Minimum interval of reads for new versions, and delay of a second read, in milliseconds; hosts see a version at
     * different times.
     */
    private static final long CONFIRM_INTERVAL_MILLIS = 1_000;

    /** Time for which a host leaves it to the reader to find out about a version; hosts then read at different times. */
    private static final long FOLLOWER_DELAY_MILLIS = 1_000;

    private static final long FOLLOWER_SPREAD_MILLIS = 500;

    /** Time between two requests to confirm from which on they are not for the same version. */
    private static final long AWAITING_GAP_MILLIS = 1_500;

    /**
     * Maximum transit time of a message within the domain, in milliseconds, by which a received read is assumed to be
     * older.
     */
    private static final long TRANSIT_MILLIS = 100;

    private final String host;
    private final PlatformStore store;
    private final EventLoop loop;
    private final Links domainLinks;
    private final LongSupplier clockMillis;
    private final Listener listener;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final RetryBackoff backoff = new RetryBackoff(RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final Map<String, Long> ordersReceivedMillis = new HashMap<>();

    /** Orders as last read by this host. */
    private EntryPeerMessage.RolloutOrdersTold told =
            new EntryPeerMessage.RolloutOrdersTold("-", 0, List.of(), Map.of());

    private long startedMillis;
    private long readMillis = -1;

    /** Newest position that the reader knows; it starts anew with the list before a watch, as the store's history may. */
    private StorePosition knownPosition = new StorePosition(StorePosition.UNKNOWN_ERA, -1);

    private long confirmDueMillis = Long.MAX_VALUE;
    private long lastConfirmMillis = Long.MIN_VALUE / 2; // half, so that the age does not overflow
    private long awaitingSinceMillis;
    private long lastAwaitedMillis = Long.MIN_VALUE / 2;
    private boolean watching;

    /** Number of the current watch; responses to earlier ones are ignored. */
    private long watch;

    private boolean failing;

    /** The connections to the other hosts of the failure domain. */
    public interface Links {
        /** Returns the names of the connected hosts. */
        Set<String> connectedPeers();

        /** Sends a message to hosts and returns to how many. */
        int send(Collection<String> hosts, EntryPeerMessage message);
    }

    /** Listener for orders. */
    public interface Listener {
        /**
         * Handles all orders in the store.
         *
         * @param readSentMillis time at which the call was sent that read them
         * @param reading whether this host reads them for its failure domain
         */
        void onOrders(
                List<RolloutOrder> orders, Map<String, RolloutStep> finalSteps, long readSentMillis, boolean reading);

        /** Handles an order that can't be carried out. */
        void onInvalid(StoredOrder.Invalid order);
    }

    /** Creates a watcher; {@code domainLinks} reach the other hosts of the failure domain. */
    public RolloutWatcher(
            String host,
            PlatformStore store,
            EventLoop loop,
            Links domainLinks,
            LongSupplier clockMillis,
            Listener listener,
            DecisionLog log,
            EntryMetrics metrics) {
        this.host = Objects.requireNonNull(host, "host");
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.domainLinks = Objects.requireNonNull(domainLinks, "domain links");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts to look for the reader, or to be the reader. */
    public void start() {
        startedMillis = clockMillis.getAsLong();
        loop.scheduleAtFixedRate(this::onTimer, 0, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::sendOrders, SEND_INTERVAL_MILLIS, SEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns whether this host reads the orders for its failure domain. */
    public boolean isReading() {
        return watching;
    }

    /**
     * Reads the orders again, because a version has appeared that waits for them; called as long as it waits.
     *
     * <p>A host that is told the orders reads by itself if what it is told stays too old for the version. One that has
     * not been told any reads at once: it has just started, maybe shortly before the old version's targets stop.
     */
    public void confirm() {
        long now = clockMillis.getAsLong();
        if (now - lastAwaitedMillis > AWAITING_GAP_MILLIS) {
            awaitingSinceMillis = now;
        }
        lastAwaitedMillis = now;
        boolean isTold = !watching && !ordersReceivedMillis.isEmpty();
        long delay = !isTold ? 0 : FOLLOWER_DELAY_MILLIS + Math.floorMod(host.hashCode(), FOLLOWER_SPREAD_MILLIS);
        long interval = failing ? MAX_RETRY_DELAY_MILLIS : CONFIRM_INTERVAL_MILLIS;
        if (now - lastConfirmMillis >= interval && now - awaitingSinceMillis >= delay) {
            lastConfirmMillis = now;
            if (watching) {
                confirmDueMillis = now + CONFIRM_INTERVAL_MILLIS;
            }
            list(false);
        }
    }

    /** Handles the orders that another host of the domain has read. */
    public void onTold(EntryPeerMessage.RolloutOrdersTold told) {
        long now = clockMillis.getAsLong();
        ordersReceivedMillis.put(told.host(), now);
        // A host of a lower name is the reader from now on; the open call is left to expire.
        if (watching && told.host().compareTo(host) < 0) {
            watching = false;
            watch++;
        }
        long readSent = now - Math.max(0, told.readAgeMillis()) - TRANSIT_MILLIS;
        if (!watching || failing) {
            if (!isOutdated(told, readSent)) {
                listener.onOrders(told.orders(), told.finalSteps(), readSent, false);
            }
        }
    }

    /** Returns whether this host has read later, by itself, and found an order which it is not told. */
    private boolean isOutdated(EntryPeerMessage.RolloutOrdersTold other, long readSentMillis) {
        return readSentMillis < readMillis && !other.orders().containsAll(told.orders());
    }

    private void onTimer() {
        boolean connected = clockMillis.getAsLong() - startedMillis >= START_DELAY_MILLIS;
        if (!watching && (connected || knowsRunningOrder()) && isReader()) {
            watching = true;
            readMillis = -1; // tells nothing before its first read
            watch++;
            log.write("rollout-orders-reader", "host", host);
            list(true);
        } else if (watching && clockMillis.getAsLong() >= confirmDueMillis) {
            confirmDueMillis = Long.MAX_VALUE;
            list(false);
        }
    }

    /** Returns whether this host has read an order that is carried out, whose end it must not miss. */
    private boolean knowsRunningOrder() {
        return told.orders().stream().anyMatch(order -> !told.finalSteps().containsKey(order.id()));
    }

    /**
     * Returns whether this host is to be the reader: no connected host of a lower name has sent orders recently, or has
     * been given the time to do so after this host's start.
     */
    private boolean isReader() {
        long now = clockMillis.getAsLong();
        return new TreeSet<>(domainLinks.connectedPeers())
                .headSet(host).stream()
                        .allMatch(peer ->
                                now - ordersReceivedMillis.getOrDefault(peer, startedMillis) > READER_SILENCE_MILLIS);
    }

    private void list(boolean thenWatch) {
        long sent = clockMillis.getAsLong();
        Map<String, StoredObject> listed = new TreeMap<>();
        requestPage("", new Listing(listed, sent, thenWatch, watch), Optional.empty());
    }

    /** List that is being read, page by page. */
    private record Listing(Map<String, StoredObject> listed, long sentMillis, boolean thenWatch, long watch) {}

    private void requestPage(String after, Listing listing, Optional<StorePosition> first) {
        store.list(RolloutCodec.ORDER_KIND, after, CALL_TIMEOUT_MILLIS, reply -> {
            metrics.recordStoreCall("rollout-list", reply.getClass().getSimpleName());
            if (listing.watch() != watch) {
                return;
            }
            if (!(reply instanceof StoreReply.Page page)) {
                onFailure("list", reply, listing.thenWatch());
                return;
            }
            StorePosition from = first.orElse(page.position());
            page.objects().forEach(object -> listing.listed().put(object.name(), object));
            if (page.next().isPresent()) {
                requestPage(page.next().get(), listing, Optional.of(from));
                return;
            }
            if (watching && !listing.thenWatch() && !from.isSameHistory(knownPosition)) {
                onHistoryChanged();
                return;
            }
            if (watching && !listing.thenWatch() && !from.continues(knownPosition)) { // overtaken by a watched change
                confirmDueMillis = clockMillis.getAsLong() + CONFIRM_INTERVAL_MILLIS;
                return;
            }
            knownPosition = from;
            objects.clear();
            objects.putAll(listing.listed());
            publish(listing.sentMillis());
            if (listing.thenWatch()) {
                watch(from);
            } else {
                onTimer(); // an order that has been found is watched at once
            }
        });
    }

    private void watch(StorePosition position) {
        if (!isReader()) {
            watching = false;
            watch++;
            return;
        }
        long sent = clockMillis.getAsLong();
        long number = watch;
        store.watch(
                RolloutCodec.ORDER_KIND,
                position.revision(),
                WATCH_MILLIS,
                WATCH_MILLIS + CALL_TIMEOUT_MILLIS,
                reply -> {
                    metrics.recordStoreCall("rollout-watch", reply.getClass().getSimpleName());
                    if (number != watch) {
                        return;
                    }
                    if (reply instanceof StoreReply.Changes changes
                            && !changes.position().continues(position)) {
                        onHistoryChanged();
                    } else if (reply instanceof StoreReply.Changes changes) {
                        knownPosition = changes.position().atLeast(knownPosition.revision());
                        changes.changes().forEach(this::apply);
                        publish(sent);
                        watch(changes.position());
                    } else {
                        onFailure("watch", reply, true);
                    }
                });
    }

    /** Lists and watches anew, because the store came back from an older copy. */
    private void onHistoryChanged() {
        watch++;
        onFailure("watch", new StoreReply.HistoryGone(), true);
    }

    private void apply(StoreChange change) {
        if (change.removed()) {
            objects.remove(change.object().name());
        } else {
            // A read in the meantime may have returned a later revision.
            objects.merge(
                    change.object().name(),
                    change.object(),
                    (known, changed) -> known.revision() > changed.revision() ? known : changed);
        }
    }

    private void publish(long sentMillis) {
        backoff.reset();
        failing = false;
        readMillis = Math.max(readMillis, sentMillis);
        List<RolloutOrder> orders = new ArrayList<>();
        Map<String, RolloutStep> finalSteps = new HashMap<>();
        for (StoredObject object : objects.values()) {
            switch (RolloutCodec.decodeOrder(object)) {
                case StoredOrder.Valid valid -> {
                    orders.add(valid.order());
                    valid.finalStep()
                            .ifPresent(step -> finalSteps.put(valid.order().id(), step));
                }
                case StoredOrder.Invalid _ when !watching -> {} // the reader answers it
                case StoredOrder.Invalid invalid -> listener.onInvalid(invalid);
            }
        }
        told = new EntryPeerMessage.RolloutOrdersTold(host, 0, orders, finalSteps);
        listener.onOrders(orders, finalSteps, sentMillis, watching);
        sendOrders();
    }

    private void sendOrders() {
        if (watching && readMillis >= 0 && !failing) {
            long age = clockMillis.getAsLong() - readMillis;
            domainLinks.send(
                    domainLinks.connectedPeers(),
                    new EntryPeerMessage.RolloutOrdersTold(host, age, told.orders(), told.finalSteps()));
        }
    }

    private void onFailure(String call, StoreReply reply, boolean thenWatch) {
        if (!failing) {
            log.write("rollout-orders-lost", "call", call, "reply", reply);
        }
        failing = true;
        if (!thenWatch) {
            confirmDueMillis = clockMillis.getAsLong() + MAX_RETRY_DELAY_MILLIS; // only used while this host reads
        } else {
            long number = watch;
            loop.schedule(
                    () -> {
                        if (number == watch) {
                            list(true);
                        }
                    },
                    backoff.nextDelayMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }
}
