package org.amaranthlock.entry.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.coordination.forwarding.Mechanisms;
import org.amaranthlock.coordination.forwarding.TargetTable;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoreReply;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;

/** Tests the calls of a target watcher to a store of the test, in virtual time. */
class TargetWatcherTest {
    private static final int STEP_MILLIS = 10;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Store store = new Store();
    private final List<TargetTable> published = new ArrayList<>();
    private long nowMillis;
    private RuntimeException listenerFault;
    private final TargetWatcher watcher = new TargetWatcher(
            store,
            channel.eventLoop(),
            () -> nowMillis,
            new NoPeers(),
            new PeerStoreServer(
                    () -> ClockReading.of(nowMillis),
                    new ResponseBudget(
                            () -> nowMillis,
                            new DecisionLog(Logger.getLogger("target-watcher-test"), () -> nowMillis))),
            this::publish,
            Mechanisms.ALL,
            new DecisionLog(Logger.getLogger("target-watcher-test"), () -> nowMillis),
            new EntryMetrics());

    /** Store that rejects all calls, or lists no targets and keeps watches waiting. */
    private static final class Store implements PlatformStore {
        private boolean rejects = true;
        private int calls;

        @Override
        public void read(String kind, String name, long timeoutMillis, Consumer<StoreReply> result) {
            throw new UnsupportedOperationException("a watcher reads no single object");
        }

        @Override
        public void list(String kind, String afterName, long timeoutMillis, Consumer<StoreReply> result) {
            calls++;
            result.accept(
                    rejects
                            ? new StoreReply.Unanswered("busy")
                            : new StoreReply.Page(
                                    List.of(), Optional.empty(), new StorePosition(StorePosition.UNKNOWN_ERA, 7)));
        }

        @Override
        public void listStale(String kind, String afterName, long timeoutMillis, Consumer<StoreReply> result) {
            throw new UnsupportedOperationException("a watcher needs the newest list");
        }

        @Override
        public void write(String kind, String name, JsonNode spec, long timeoutMillis, Consumer<StoreReply> result) {
            throw new UnsupportedOperationException("a watcher writes nothing");
        }

        @Override
        public void watch(
                String kind, long revision, long waitMillis, long timeoutMillis, Consumer<StoreReply> result) {
            calls++;
        }
    }

    private static final class NoPeers implements PeerStoreReader {
        @Override
        public void giveUpQueries() {}

        @Override
        public long answeredQueries() {
            return 0;
        }

        @Override
        public boolean isSuccessor() {
            return false;
        }

        @Override
        public boolean confirmConfiguration(ObjectVersion version, Consumer<OptionalLong> result) {
            return false;
        }

        @Override
        public boolean fetchTargetChangesFromSuccessor(
                StorePosition position, Consumer<Optional<StoreReply.Changes>> result) {
            return false;
        }

        @Override
        public boolean fetchTargetChanges(StorePosition position, Consumer<Optional<StoreReply.Changes>> result) {
            return false;
        }
    }

    // Load pattern: the store rejects all calls for seconds, and each host of a fleet repeats its list.
    @Test
    void rejectingStoreIsListedSeldomAndItsReturnIsNoticed() {
        channel.freezeTime();
        watcher.start();
        advance(10_000);
        assertThat(store.calls).isAtMost(14);
        store.rejects = false;
        advance(1_000);
        assertThat(published).hasSize(1);
    }

    // Guards against a fault in what follows a change, after which no further call is sent.
    @Test
    void faultOfAListenerDoesNotEndTheWatch() {
        channel.freezeTime();
        store.rejects = false;
        listenerFault = new IllegalStateException("fault of the test");
        watcher.start();
        advance(1_000);
        assertThat(published).isEmpty();
        listenerFault = null;
        advance(2_000);
        assertThat(published).hasSize(1);
    }

    private void publish(TargetTable table) {
        if (listenerFault != null) {
            throw listenerFault;
        }
        published.add(table);
    }

    private void advance(long millis) {
        for (long step = 0; step < millis; step += STEP_MILLIS) {
            nowMillis += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }
}
