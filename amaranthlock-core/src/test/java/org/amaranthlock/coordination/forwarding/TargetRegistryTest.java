package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.amaranthlock.model.TargetId;
import org.junit.jupiter.api.Test;

class TargetRegistryTest {
    private final TargetRegistry registry = new TargetRegistry(Mechanisms.ALL);
    private final EntryTarget first = EntryTargets.ready("t1", "a");
    private final EntryTarget second = EntryTargets.ready("t2", "b");

    // After its watch is reset, the watcher fetches a new list. Guards against a watcher that stops permanently when
    // entries that it knew are missing in this list.
    @Test
    void listRemovesMissingEntries() {
        registry.applyList(Map.of(first, 1L, second, 2L), false, 0);
        registry.applyList(Map.of(second, 2L), false, 10);
        assertThat(ids(10)).containsExactly("t2");
    }

    // Guards against removing available targets whose entries expired while the store was unavailable.
    @Test
    void keepsMissingEntryForTwoSecondsAfterOutage() {
        registry.applyList(Map.of(first, 1L, second, 2L), false, 0);
        registry.applyList(Map.of(second, 2L), true, 10_000);
        assertThat(ids(11_900)).containsExactly("t1", "t2");
        assertThat(ids(12_000)).containsExactly("t2");
    }

    @Test
    void keepsEntryReregisteredWithinGracePeriod() {
        registry.applyList(Map.of(first, 1L), false, 0);
        registry.applyList(Map.of(), true, 10_000);
        registry.applyChange(first, 9, 11_000);
        assertThat(ids(13_000)).containsExactly("t1");
    }

    // Guards against restoring the old state of a target by watch events that are older than the list.
    @Test
    void ignoresChangeOlderThanEntry() {
        registry.applyList(Map.of(EntryTargets.draining("t1", "a"), 7L), false, 0);
        registry.applyChange(first, 5, 10);
        registry.applyRemoval(first.id(), 6, 10);
        assertThat(registry.table(10).target(new TargetId("t1")).orElseThrow().draining())
                .isTrue();
    }

    @Test
    void removesDeletedEntryImmediately() {
        registry.applyList(Map.of(first, 1L, second, 2L), false, 0);
        registry.applyRemoval(first.id(), 3, 10);
        assertThat(ids(10)).containsExactly("t2");
    }

    // Load pattern: most engines of a domain crash and restart under new ids, while the entries of the crashed ones
    // stay
    // for seconds. Guards against requests that try one crashed engine after the other.
    @Test
    void leavesOutEndedTargetWhenAnotherRunsAtItsAddress() {
        registry.applyList(Map.of(first, 1L, second, 2L), false, 0);
        registry.applyChange(EntryTargets.successor("t3", first), 3, 10);
        assertThat(ids(10)).containsExactly("t2", "t3");
    }

    // Guards against preferring an entry only because it was received later.
    @Test
    void prefersEntryWrittenLastAtAnAddress() {
        registry.applyChange(EntryTargets.successor("t0", first), 3, 10);
        registry.applyChange(first, 1, 20);
        assertThat(ids(20)).containsExactly("t0");
    }

    // Guards against a target that is lost because it registers again with a lower revision, in a store that came back
    // from an older copy.
    @Test
    void targetThatRegistersAgainWithALowerRevisionIsKept() {
        registry.applyList(Map.of(first, 500L, second, 501L), false, 0);
        registry.applyList(Map.of(second, 480L), true, 10_000);
        registry.applyChange(first, 490, 10_500);
        assertThat(ids(10_000 + 2 * TargetRegistry.REREGISTRATION_GRACE_MILLIS)).containsExactly("t1", "t2");
    }

    private List<String> ids(long nowMillis) {
        return registry.table(nowMillis).targets().stream()
                .map(target -> target.id().value())
                .toList();
    }
}
