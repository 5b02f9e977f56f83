package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.TargetRegistry;
import org.amaranthlock.coordination.forwarding.TargetTable;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StoreReply;
import org.amaranthlock.platform.StoredObject;
import org.amaranthlock.platform.TargetEntryDecoder;

/** Lists the targets and then watches for changes, or asks a neighbour that does. */
public final class TargetWatcher {
    /** How long the store waits for a change, milliseconds; a silent connection shows after it. */
    private static final long WAIT_MILLIS = 4_000;

    private static final long ANSWER_MILLIS = 800;
    private static final long RETRY_MILLIS = 250;

    /** Pause after a change, milliseconds, so that changes in quick succession come with one call. */
    private static final long GATHER_MILLIS = 250;

    /** Time without an answer, milliseconds, after which missing entries may only have lapsed. */
    private static final long OUTAGE_MILLIS = 1_000;

    private final PlatformStore store;
    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final PeerStoreReader neighbour;
    private final PeerStoreServer relay;
    private final Consumer<TargetTable> listener;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final TargetRegistry registry = new TargetRegistry();
    private final Map<EntryTarget, Long> listing = new LinkedHashMap<>();
    private long listRevision;
    private long failingSinceMillis = -1;

    /** Creates a follower whose calls run on {@code loop}. */
    public TargetWatcher(
            PlatformStore store,
            EventLoop loop,
            LongSupplier clockMillis,
            PeerStoreReader neighbour,
            PeerStoreServer relay,
            Consumer<TargetTable> listener,
            DecisionLog log,
            EntryMetrics metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.neighbour = Objects.requireNonNull(neighbour, "neighbour");
        this.relay = Objects.requireNonNull(relay, "relay");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts to follow. */
    public void start() {
        loop.execute(this::list);
    }

    private void list() {
        listing.clear();
        listRevision = -1;
        page("");
    }

    private void page(String after) {
        store.list(TargetEntryDecoder.KIND, after, ANSWER_MILLIS, this::listed);
    }

    private void listed(StoreReply reply) {
        metrics.recordStoreCall("target-list", reply.getClass().getSimpleName());
        if (!(reply instanceof StoreReply.Page page)) {
            failed("list", reply);
            loop.schedule(this::list, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (listRevision < 0) {
            listRevision = page.revision();
        }
        for (StoredObject object : page.objects()) {
            TargetEntryDecoder.decode(object).ifPresent(target -> listing.put(target, object.revision()));
        }
        if (page.next().isPresent()) {
            page(page.next().get());
            return;
        }
        long now = clockMillis.getAsLong();
        boolean afterOutage = answered();
        registry.applyList(listing, afterOutage, now);
        log.write("targets-listed", "count", listing.size(), "revision", listRevision, "after_outage", afterOutage);
        publish();
        follow(listRevision);
    }

    private void follow(long revision) {
        boolean asked = neighbour.fetchTargetChanges(revision, changes -> {
            if (changes.isPresent()) {
                take(changes.get());
                follow(changes.get().revision());
            } else {
                watch(revision);
            }
        });
        if (asked) {
            relay.onWatchStopped();
        } else {
            watch(revision);
        }
    }

    private void watch(long revision) {
        relay.onWatchStarted(revision);
        store.watch(TargetEntryDecoder.KIND, revision, WAIT_MILLIS, WAIT_MILLIS + ANSWER_MILLIS, reply -> {
            metrics.recordStoreCall("target-watch", reply.getClass().getSimpleName());
            switch (reply) {
                case StoreReply.Changes changes -> {
                    take(changes);
                    relay.onTargetsChanged(changes.changes(), changes.revision());
                    long pause = changes.changes().isEmpty() ? 0 : GATHER_MILLIS;
                    loop.schedule(() -> follow(changes.revision()), pause, TimeUnit.MILLISECONDS);
                }
                default -> {
                    relay.onWatchStopped();
                    failed("watch", reply);
                    loop.schedule(this::list, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                }
            }
        });
    }

    private void take(StoreReply.Changes changes) {
        answered();
        changes.changes().forEach(this::change);
        if (!changes.changes().isEmpty() || registry.hasPendingReregistrations()) {
            publish();
        }
    }

    private void change(StoreChange change) {
        long now = clockMillis.getAsLong();
        StoredObject object = change.object();
        Optional<EntryTarget> target = change.removed() ? Optional.empty() : TargetEntryDecoder.decode(object);
        if (target.isPresent()) {
            registry.applyChange(target.get(), object.revision(), now);
        } else {
            registry.applyRemoval(new TargetId(object.name()), object.revision(), now);
        }
        log.write(
                "target-changed",
                "target",
                object.name(),
                "revision",
                object.revision(),
                "state",
                target.map(known -> known.draining() ? "draining" : "ready").orElse("gone"));
    }

    private void publish() {
        listener.accept(registry.table(clockMillis.getAsLong()));
        if (registry.hasPendingReregistrations()) {
            loop.schedule(
                    () -> listener.accept(registry.table(clockMillis.getAsLong())),
                    TargetRegistry.REREGISTRATION_GRACE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void failed(String call, StoreReply reply) {
        if (failingSinceMillis < 0) {
            failingSinceMillis = clockMillis.getAsLong();
            log.write("target-entries-lost", "call", call, "reply", reply);
        }
    }

    /** Notes an answer; returns whether there had been none for long. */
    private boolean answered() {
        if (failingSinceMillis < 0) {
            return false;
        }
        long outage = clockMillis.getAsLong() - failingSinceMillis;
        failingSinceMillis = -1;
        log.write("target-entries-regained", "after_ms", outage);
        return outage >= OUTAGE_MILLIS;
    }
}
