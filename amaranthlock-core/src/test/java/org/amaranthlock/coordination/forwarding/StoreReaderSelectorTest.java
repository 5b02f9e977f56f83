package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class StoreReaderSelectorTest {
    private final StoreReaderSelector choice = new StoreReaderSelector("host-2");

    @Test
    void theReachableHostWithTheLowestNameReadsForTheOthers() {
        assertThat(choice.select(Set.of("host-3", "host-1"), 0)).hasValue("host-1");
        assertThat(choice.select(Set.of("host-3"), 0)).isEmpty();
        assertThat(choice.select(Set.of(), 0)).isEmpty();
    }

    // Load pattern: the reader freezes or loses the store. Guards against hosts that wait for it again and again.
    @Test
    void aHostThatDidNotAnswerIsNotAskedForAWhile() {
        choice.markUnresponsive("host-1", 1_000);
        assertThat(choice.select(Set.of("host-1"), 3_900)).isEmpty();
        assertThat(choice.select(Set.of("host-1"), 4_000)).hasValue("host-1");
    }
}
