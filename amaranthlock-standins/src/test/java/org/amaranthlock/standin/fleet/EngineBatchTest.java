package org.amaranthlock.standin.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.standin.fleet.EngineBatch.KvCopy;
import org.amaranthlock.standin.fleet.EngineBatch.Sequence;
import org.amaranthlock.standin.fleet.EngineRequest.PromptPart;
import org.junit.jupiter.api.Test;

/** The model of an engine's batch and memory, on small figures. */
class EngineBatchTest {
    private static final int EVENTS = 4;

    private final List<String> log = new ArrayList<>();
    private final EngineBatch batch = new EngineBatch(new EngineConfig(2, 2, 100, 10, 1, 5, 20, 2));

    @Test
    void readsAPromptInChunksBeforeTheFirstToken() {
        submit("a", 50, 5);
        assertThat(batch.beginStep()).isWithin(1e-9).of(10 + 1 + 20 / 5.0);
        batch.endStep();
        assertThat(log).containsExactly("a admitted");
        steps(3);
        assertThat(log).containsExactly("a admitted", "a 0").inOrder();
        steps(6);
        assertThat(log).contains("a finished");
        assertThat(batch.isIdle()).isTrue();
    }

    @Test
    void refusesWhatItsQueueOrItsMemoryCannotTake() {
        assertThat(batch.submit(work("large", 101, 5), output("large"))).isEmpty();
        submit("a", 1, 5);
        submit("b", 1, 5);
        assertThat(batch.submit(work("c", 1, 5), output("c"))).isEmpty();
    }

    @Test
    void admitsTheMostUrgentFirst() {
        submit("later", 1, 7);
        submit("urgent", 1, 0);
        batch.beginStep();
        assertThat(log).containsExactly("urgent admitted", "later admitted").inOrder();
    }

    @Test
    void doesNotReadAPartThatIsKept() {
        submit("a", 20, 5);
        steps(9);
        long read = batch.prefilledTokens();
        batch.submit(new EngineRequest("b", List.of(new PromptPart("part-a", 20)), 0, EVENTS, 5), output("b"));
        batch.beginStep();
        assertThat(batch.prefilledTokens()).isEqualTo(read);
    }

    @Test
    void preemptsTheNewestOfTheLeastUrgentWhenItsMemoryIsFull() {
        EngineBatch small = new EngineBatch(new EngineConfig(2, 2, 41, 10, 1, 5, 40, 1));
        small.submit(work("first", 19, 5), output("first"));
        small.submit(work("second", 19, 5), output("second"));
        for (int i = 0; i < 2; i++) {
            small.beginStep();
            small.endStep();
        }
        assertThat(small.runningSequences().stream().map(run -> run.request().id()))
                .containsExactly("first");
        assertThat(small.queuedCount()).isEqualTo(1);
    }

    @Test
    void aCopySavesThePromptAndServesOnce() {
        assertThat(batch.storeCopy("a", new KvCopy(60, 2))).isTrue();
        EngineRequest rest = new EngineRequest("a", List.of(new PromptPart("part-a", 60)), 2, EVENTS, 5);
        assertThat(batch.resumeFromCopy(rest, "a", output("a"))).isPresent();
        assertThat(batch.resumeFromCopy(rest, "a", output("a"))).isEmpty();
        steps(3);
        // Only the four tokens of the two events before were not in the copy.
        assertThat(batch.prefilledTokens()).isEqualTo(4);
        assertThat(log).contains("a 2");
    }

    @Test
    void aCopyTakesASlotAndMemory() {
        assertThat(batch.storeCopy("a", new KvCopy(60, 2))).isTrue();
        assertThat(batch.storeCopy("b", new KvCopy(60, 2))).isFalse();
        assertThat(batch.storeCopy("b", new KvCopy(30, 2))).isTrue();
        assertThat(batch.storeCopy("c", new KvCopy(1, 2))).isFalse();
        batch.removeCopy("a");
        assertThat(batch.pinnedTokens()).isEqualTo(30);
    }

    private void submit(String id, int tokens, int urgency) {
        Sequence run = batch.submit(work(id, tokens, urgency), output(id)).orElseThrow();
        assertThat(run.eventCount()).isEqualTo(0);
    }

    private void steps(int count) {
        for (int i = 0; i < count; i++) {
            batch.beginStep();
            batch.endStep();
        }
    }

    private static EngineRequest work(String id, int tokens, int urgency) {
        return new EngineRequest(id, List.of(new PromptPart("part-" + id, tokens)), 0, EVENTS, urgency);
    }

    private EngineBatch.Listener output(String id) {
        return new EngineBatch.Listener() {
            @Override
            public void admitted() {
                log.add(id + " admitted");
            }

            @Override
            public void event(int number) {
                log.add(id + " " + number);
            }

            @Override
            public void finished() {
                log.add(id + " finished");
            }
        };
    }
}
