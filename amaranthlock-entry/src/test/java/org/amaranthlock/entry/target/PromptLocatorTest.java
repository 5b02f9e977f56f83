package org.amaranthlock.entry.target;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.PromptHolders;
import org.amaranthlock.coordination.forwarding.PromptPart;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;

class PromptLocatorTest {
    private static final PromptPart PART = new PromptPart("a1", 8_000);
    private static final Optional<SoftwareVersion> VERSION = Optional.of(SoftwareVersion.UNKNOWN);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Map<EntryTarget, Consumer<Optional<Map<String, Long>>>> calls = new LinkedHashMap<>();
    private final List<PromptHolders> results = new ArrayList<>();
    private final EntryTarget first = engine(1);
    private final EntryTarget second = engine(2);
    private final EntryTarget other = engine(3, new SoftwareVersion("v2"));
    private long nowMillis = 1_000;
    private final PromptLocator locator = new PromptLocator(
            channel.eventLoop(),
            calls::put,
            () -> nowMillis,
            RandomSource.SPLIT_MIX_64.create(1),
            new DecisionLog(Logger.getLogger("prompt-locator-test"), () -> 0));

    @Test
    void findsEngineThatHoldsWholePartWithoutWaitingForTheOthers() {
        locate();
        answer(second, Map.of("a1", 8_000L));
        assertThat(best()).containsExactly(Optional.of(second));
    }

    @Test
    void findsNoneIfNoEngineHoldsEnough() {
        locate();
        answer(first, Map.of("a1", 3_000L));
        answer(second, Map.of("b2", 8_000L));
        assertThat(best()).containsExactly(Optional.empty());
    }

    // Guards against a stream that waits for an engine that died silently.
    @Test
    void usesListsThatArrivedInTime() {
        locate();
        answer(first, Map.of("a1", 7_000L));
        channel.advanceTimeBy(150, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(best()).containsExactly(Optional.of(first));
        answer(second, Map.of("a1", 8_000L));
        assertThat(results).hasSize(1);
    }

    // Guards against a list per stream when all clients of a dead host come back at once.
    @Test
    void sharesListsAmongSearchesThatFollowEachOther() {
        locate();
        answer(first, Map.of("a1", 8_000L));
        answer(second, Map.of());
        calls.clear();
        nowMillis += 400;
        locate();
        assertThat(calls).isEmpty();
        nowMillis += 200;
        locate();
        assertThat(calls).hasSize(2);
        assertThat(results).hasSize(2);
    }

    // Guards against a burst of lists from all hosts to all engines of a large fleet.
    @Test
    void asksBoundedNumberOfEngines() {
        List<EntryTarget> fleet =
                IntStream.range(0, 200).mapToObj(PromptLocatorTest::engine).toList();
        locator.locate(PART, fleet, VERSION, results::add);
        assertThat(calls).hasSize(32);
        assertThat(fleet).containsAtLeastElementsIn(calls.keySet());
    }

    @Test
    void findsNoneWithoutEngines() {
        locator.locate(PART, List.of(), VERSION, results::add);
        assertThat(best()).containsExactly(Optional.empty());
    }

    // Guards against a stream that is resumed at an engine of another version that holds its prompt.
    @Test
    void findsEngineOfTheSearchedVersionOnly() {
        locator.locate(PART, List.of(first, other), VERSION, results::add);
        answer(other, Map.of("a1", 8_000L));
        assertThat(results).isEmpty();
        answer(first, Map.of("a1", 7_000L));
        assertThat(best()).containsExactly(Optional.of(first));
    }

    // Guards against a version that is inferred from the first engine that answers, while another one holds the prompt
    // too.
    @Test
    void awaitsAllEnginesWhileTheVersionIsNotKnown() {
        locator.locate(PART, List.of(first, other), Optional.empty(), results::add);
        answer(first, Map.of("a1", 8_000L));
        assertThat(results).isEmpty();
        answer(other, Map.of("a1", 8_000L));
        assertThat(results.getFirst().versions()).containsExactly(SoftwareVersion.UNKNOWN, other.version());
        assertThat(results.getFirst().complete()).isTrue();
    }

    @Test
    void engineThatDoesNotAnswerLeavesTheVersionsIncomplete() {
        locator.locate(PART, List.of(first, other), Optional.empty(), results::add);
        answer(first, Map.of("a1", 8_000L));
        calls.get(other).accept(Optional.empty());
        assertThat(results.getFirst().complete()).isFalse();
    }

    private List<Optional<EntryTarget>> best() {
        return results.stream().map(PromptHolders::best).toList();
    }

    private void locate() {
        locator.locate(PART, List.of(first, second), VERSION, results::add);
    }

    private void answer(EntryTarget engine, Map<String, Long> tokens) {
        calls.get(engine).accept(Optional.of(tokens));
    }

    private static EntryTarget engine(int number) {
        return engine(number, SoftwareVersion.UNKNOWN);
    }

    private static EntryTarget engine(int number, SoftwareVersion version) {
        return new EntryTarget(
                new TargetId("engine-" + number),
                new ServiceName("engines"),
                "10.0.0." + number,
                8_000,
                new FailureDomain("a"),
                8,
                false,
                0,
                1,
                version);
    }
}
