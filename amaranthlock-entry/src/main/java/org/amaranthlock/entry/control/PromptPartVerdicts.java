package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.promptpart.PartEvidence;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.PromptPartVerdictCodec;
import org.amaranthlock.platform.StoreReply;
import org.amaranthlock.platform.StoredObject;

/**
 * Keeps the verdicts on prompt parts that crash targets in the store, for the case that all hosts end. A host reads them
 * once, at its start; later it hears of them from the other hosts. All calls are on the control loop.
 */
public final class PromptPartVerdicts {
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long RETRY_DELAY_MILLIS = 1_000;

    /** Age from which on a verdict is no longer applied; the part would have been tried again several times. */
    private static final long MAX_AGE_MILLIS = TimeUnit.DAYS.toMillis(1);

    private final PlatformStore store;
    private final EventLoop loop;
    private final LongSupplier wallClockMillis;
    private final Consumer<List<PartEvidence>> listener;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final List<PartEvidence> listing = new ArrayList<>();
    private boolean failing;
    private boolean known;

    /**
     * Creates a keeper of verdicts.
     *
     * @param listener receives the verdicts that the store holds, once they have been read
     */
    public PromptPartVerdicts(
            PlatformStore store,
            EventLoop loop,
            LongSupplier wallClockMillis,
            Consumer<List<PartEvidence>> listener,
            DecisionLog log,
            EntryMetrics metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.wallClockMillis = Objects.requireNonNull(wallClockMillis, "wall clock");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts reading the verdicts. */
    public void start() {
        loop.execute(this::list);
    }

    /** Returns whether this host knows the verdicts that the store held when it started. */
    public boolean isKnown() {
        return known;
    }

    /** Records that another host has sent the verdicts. */
    public void markKnown() {
        known = true;
    }

    /** Writes a verdict, until the store has taken it. */
    public void save(PartEvidence verdict) {
        store.write(
                PromptPartVerdictCodec.KIND,
                verdict.part().value(),
                PromptPartVerdictCodec.encode(verdict, wallClockMillis.getAsLong()),
                CALL_TIMEOUT_MILLIS,
                reply -> {
                    record("prompt-part-write", reply, reply instanceof StoreReply.Found);
                    if (!(reply instanceof StoreReply.Found)) {
                        loop.schedule(() -> save(verdict), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void list() {
        listing.clear();
        requestPage("");
    }

    private void requestPage(String afterName) {
        store.list(PromptPartVerdictCodec.KIND, afterName, CALL_TIMEOUT_MILLIS, this::onListReply);
    }

    private void onListReply(StoreReply reply) {
        record("prompt-part-list", reply, reply instanceof StoreReply.Page);
        if (!(reply instanceof StoreReply.Page page)) {
            loop.schedule(this::list, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        page.objects().forEach(this::add);
        if (page.next().isPresent()) {
            requestPage(page.next().get());
            return;
        }
        known = true;
        if (!listing.isEmpty()) {
            log.write("prompt-part-verdicts-read", "count", listing.size());
        }
        listener.accept(List.copyOf(listing));
    }

    private void add(StoredObject object) {
        PromptPartVerdictCodec.decode(object, wallClockMillis.getAsLong())
                .filter(verdict -> verdict.crashAgeMillis().orElse(0) < MAX_AGE_MILLIS)
                .ifPresent(listing::add);
    }

    /** Counts a call, and logs the first of several failed ones. */
    private void record(String call, StoreReply reply, boolean successful) {
        metrics.recordStoreCall(call, reply.getClass().getSimpleName());
        if (!successful && !failing) {
            log.write("prompt-part-verdicts-failed", "call", call, "reply", reply);
        }
        failing = !successful;
    }
}
