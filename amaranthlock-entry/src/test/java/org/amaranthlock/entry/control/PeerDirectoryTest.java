package org.amaranthlock.entry.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.amaranthlock.entry.log.CapturedLog;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.platform.PeerRegistration;
import org.amaranthlock.platform.PeerRegistrationCodec;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoreReply;
import org.amaranthlock.platform.StoredObject;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerDirectoryTest {
    private static final String LOGGER = "peer-directory-test";
    private static final FailureDomain DOMAIN = new FailureDomain("a");

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ScriptedStore store = new ScriptedStore();
    private final List<Set<PeerRegistration>> early = new ArrayList<>();
    private final List<Set<PeerRegistration>> published = new ArrayList<>();
    private final CapturedLog captured = new CapturedLog(LOGGER);
    private final List<String> lines = captured.lines();
    private final PeerDirectory directory = new PeerDirectory(
            store,
            channel.eventLoop(),
            "entry-1",
            DOMAIN,
            early::add,
            published::add,
            RandomSource.SPLIT_MIX_64.create(1),
            new DecisionLog(Logger.getLogger(LOGGER), () -> 0),
            new EntryMetrics());
    /** Store that answers stale lists from a script and accepts writes. */
    private static final class ScriptedStore implements PlatformStore {
        final Deque<StoreReply> pages = new ArrayDeque<>();
        final List<String> pageStarts = new ArrayList<>();
        int writes;

        @Override
        public void listStale(String kind, String afterName, long timeoutMillis, Consumer<StoreReply> result) {
            pageStarts.add(afterName);
            result.accept(pages.remove());
        }

        @Override
        public void write(String kind, String name, JsonNode spec, long timeoutMillis, Consumer<StoreReply> result) {
            writes++;
            result.accept(new StoreReply.Found(new StoredObject(name, 1, spec)));
        }

        @Override
        public void read(String kind, String name, long timeoutMillis, Consumer<StoreReply> result) {
            throw new UnsupportedOperationException("the directory reads no single object");
        }

        @Override
        public void list(String kind, String afterName, long timeoutMillis, Consumer<StoreReply> result) {
            throw new UnsupportedOperationException("the directory uses stale lists only");
        }

        @Override
        public void watch(
                String kind, long revision, long waitMillis, long timeoutMillis, Consumer<StoreReply> result) {
            throw new UnsupportedOperationException("the directory watches nothing");
        }
    }

    @AfterEach
    void closeLog() {
        captured.close();
    }

    // Guards against hosts that are unknown to the others because a fleet does not fit on one page.
    @Test
    void publishesHostsOfAllPages() {
        store.pages.add(page(Optional.of("entry-2"), "entry-1", "entry-2"));
        store.pages.add(page(Optional.empty(), "entry-3"));
        startAndList();
        assertThat(store.pageStarts).containsExactly("", "entry-2").inOrder();
        assertThat(published).hasSize(1);
        assertThat(published.getFirst()).containsExactly(peer("entry-2"), peer("entry-3"));
    }

    // Guards against a list that fails unnoticed for hours.
    @Test
    void keepsKnownHostsAndLogsOnceWhenListFails() {
        store.pages.add(page(Optional.empty(), "entry-2"));
        store.pages.add(new StoreReply.Refused(503));
        store.pages.add(new StoreReply.Refused(503));
        startAndList();
        advance(5_000);
        advance(5_000);
        assertThat(store.pages).isEmpty();
        assertThat(published).hasSize(1);
        assertThat(lines.stream().filter(line -> line.startsWith("event=peers-not-listed known=1")))
                .hasSize(1);
    }

    // Guards against a host that the others never hear of again, because the store came back from a copy that is older
    // than its registration.
    @Test
    void registersAgainWhenItsRegistrationIsMissing() {
        store.pages.add(page(Optional.empty(), "entry-1", "entry-2"));
        store.pages.add(page(Optional.empty(), "entry-2"));
        store.pages.add(page(Optional.empty(), "entry-1", "entry-2"));
        startAndList();
        assertThat(store.writes).isEqualTo(1);
        advance(5_000);
        assertThat(store.writes).isEqualTo(2);
        assertThat(lines.stream().filter(line -> line.startsWith("event=peer-entry-missing")))
                .hasSize(1);
        advance(5_000);
        assertThat(store.writes).isEqualTo(2);
    }

    // Load pattern: an unknown host reports several times a second while the list, which may be stale, does not have
    // it.
    @Test
    void unknownHostLeadsToOneListInFiveSeconds() {
        for (int i = 0; i < 8; i++) {
            store.pages.add(page(Optional.empty(), "entry-1", "entry-2"));
        }
        startAndList();
        int before = store.pages.size();
        for (int i = 0; i < 24; i++) {
            directory.onUnknownHost("entry-3");
            advance(200);
        }
        assertThat(before - store.pages.size()).isEqualTo(1);
    }

    // Guards against a host that was killed and cannot ask the others, for more than a second, what it has lost.
    @Test
    void hostsThatAreRegisteredAtTheStartAreKnownAtOnce() {
        store.pages.add(page(Optional.empty(), "entry-2"));
        store.pages.add(page(Optional.empty(), "entry-1", "entry-2", "entry-3"));
        directory.start("10.0.0.1:7000");
        channel.runPendingTasks();
        // The second list, after its own registration, has the hosts that started beside it.
        assertThat(early)
                .containsExactly(Set.of(peer("entry-2")), Set.of(peer("entry-2"), peer("entry-3")))
                .inOrder();
        assertThat(published).isEmpty();
    }

    // Load pattern: a fleet whose hosts are restarted. Guards against a write and a second list at each start, and
    // against
    // a host that counts itself as the only one until the second list.
    @Test
    void hostWhoseRegistrationStandsUnchangedCallsTheStoreOnce() {
        store.pages.add(page(Optional.empty(), "entry-1", "entry-2"));
        directory.start("10.0.0.1:7000");
        advance(4_900);
        assertThat(store.pageStarts).hasSize(1);
        assertThat(store.writes).isEqualTo(0);
        assertThat(published).containsExactly(Set.of(peer("entry-2")));
    }

    // Load pattern: a fleet of which no host is restarted. Guards against lists that cost more than the rest of its
    // calls:
    // hosts that are not listed yet are known by their reports.
    @Test
    void hostOfLargeFleetListsTwiceAMinute() {
        String[] names =
                IntStream.range(1, 68).mapToObj(number -> "entry-" + number).toArray(String[]::new);
        for (int i = 0; i < 10; i++) {
            store.pages.add(page(Optional.empty(), names));
        }
        directory.start("10.0.0.1:7000");
        channel.runPendingTasks();
        store.pageStarts.clear();
        IntStream.range(0, 60).forEach(_ -> advance(1_000));
        assertThat(store.pageStarts).hasSize(2);
    }

    // Guards against a host that the others cannot reach, because it listens at another address than before.
    @Test
    void hostWithAnotherAddressRegistersAgain() {
        store.pages.add(page(Optional.empty(), "entry-1", "entry-2"));
        store.pages.add(page(Optional.empty(), "entry-2"));
        directory.start("10.0.0.9:7000");
        channel.runPendingTasks();
        assertThat(store.writes).isEqualTo(1);
    }

    // Guards against a host that knows nobody after its start and does not say why.
    @Test
    void firstListThatFailsIsLoggedAndTheRegularOneFollows() {
        store.pages.add(new StoreReply.Refused(503));
        store.pages.add(page(Optional.empty(), "entry-2"));
        directory.start("10.0.0.1:7000");
        channel.runPendingTasks();
        assertThat(early).isEmpty();
        assertThat(lines.stream().filter(line -> line.startsWith("event=peers-not-listed known=0")))
                .hasSize(1);
        advance(1_500);
        assertThat(published).containsExactly(Set.of(peer("entry-2")));
    }

    private void startAndList() {
        store.pages.addFirst(page(Optional.empty()));
        store.pages.addFirst(page(Optional.empty()));
        directory.start("10.0.0.1:7000");
        channel.runPendingTasks();
        store.pageStarts.clear();
        advance(1_500);
    }

    private void advance(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    private static StoreReply page(Optional<String> next, String... names) {
        List<StoredObject> objects = new ArrayList<>();
        for (String name : names) {
            objects.add(new StoredObject(name, 1, PeerRegistrationCodec.encode(peer(name))));
        }
        return new StoreReply.Page(objects, next, new StorePosition(StorePosition.UNKNOWN_ERA, 1));
    }

    private static PeerRegistration peer(String name) {
        return new PeerRegistration(name, "10.0.0." + name.substring("entry-".length()) + ":7000", DOMAIN);
    }
}
