package org.amaranthlock.bench.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against messages that overtake each other, which would make counts differ between runs. */
class EventQueueTest {
    @Test
    void runsActionsByTimeAndThenInInsertionOrder() {
        EventQueue queue = new EventQueue(0);
        List<String> run = new ArrayList<>();
        queue.schedule(12, () -> run.add("far"));
        queue.schedule(1, () -> run.add("near 1"));
        queue.schedule(1, () -> {
            run.add("near 2");
            queue.schedule(11, () -> run.add("far, sent later"));
        });

        queue.advance(11);
        assertThat(run).containsExactly("near 1", "near 2").inOrder();

        queue.advance(1);
        assertThat(run)
                .containsExactly("near 1", "near 2", "far", "far, sent later")
                .inOrder();
    }
}
