package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class LeastDelayPlacementTest {
    private static final ServiceDefinition ENGINES =
            new ServiceDefinition(EntryTargets.SERVICE, 100, true, 50_000, true, true);
    private static final ServiceDefinition PLAIN =
            new ServiceDefinition(EntryTargets.SERVICE, 100, false, 0, false, false);

    private final PlacementPolicy rule = new LeastDelayPlacement(RandomSource.SPLIT_MIX_64.create(1L));

    // Load pattern: the streams of a dead domain come to the engines that are left. Guards against a queue of prompts
    // at
    // one engine, which took six seconds on a hunted day while others only ran streams.
    @Test
    void anEngineThatReadsAPromptIsAvoidedForOneThatRunsTwoStreams() {
        CandidateLoad reading = load("reading", 1, 0, false);
        CandidateLoad running = load("running", 0, 2, false);
        assertThat(rule.choose(ENGINES, 0, List.of(reading, running))).hasValue(running.target());
    }

    @Test
    void aPlainTargetsRequestsAllCountTheSame() {
        CandidateLoad one = load("one", 1, 0, false);
        CandidateLoad two = load("two", 0, 2, false);
        assertThat(rule.choose(PLAIN, 0, List.of(one, two))).hasValue(one.target());
    }

    @Test
    void aDoubtedEngineIsUsedBeforeAQueueOfPrompts() {
        CandidateLoad doubted = load("doubted", 0, 0, true);
        assertThat(rule.choose(ENGINES, 0, List.of(doubted, load("queue", 3, 0, false))))
                .hasValue(doubted.target());
        CandidateLoad running = load("running", 0, 3, false);
        assertThat(rule.choose(ENGINES, 0, List.of(doubted, running))).hasValue(running.target());
    }

    // Load pattern: many long prompts at once. Guards against a request that waits for memory at one engine while
    // another
    // has room.
    @Test
    void anEngineWhoseMemoryIsFullIsUsedLast() {
        CandidateLoad full =
                new CandidateLoad(EntryTargets.ready("full", "a"), new InFlightLoad(0, 1, 0, 46_000), false, false);
        CandidateLoad roomy = load("roomy", 1, 5, false);
        assertThat(rule.choose(ENGINES, 5_000, List.of(full, roomy))).hasValue(roomy.target());
        assertThat(rule.choose(ENGINES, 4_000, List.of(full, roomy))).hasValue(full.target());
    }

    // Load pattern: a peak. Guards against copies that take the memory which the runs need.
    @Test
    void anEngineWithoutMuchRoomKeepsNoCopies() {
        CandidateLoad half =
                new CandidateLoad(EntryTargets.ready("half", "a"), new InFlightLoad(0, 3, 1, 38_000), false, false);
        assertThat(rule.chooseBackup(ENGINES, 5_000, List.of(half))).isEmpty();
        assertThat(rule.chooseBackup(ENGINES, 4_000, List.of(half))).hasValue(half.target());
    }

    @Test
    void thereIsNoChoiceWithoutCandidates() {
        assertThat(rule.choose(ENGINES, 0, List.of())).isEmpty();
    }

    private static CandidateLoad load(String id, int reading, int running, boolean doubted) {
        return new CandidateLoad(EntryTargets.ready(id, "a"), new InFlightLoad(reading, running, 0, 0), false, doubted);
    }
}
