package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests of streams that a client resumes. */
class ForwardedRequestResumeTest extends AbstractForwardedRequestTest {
    @Test
    void startsAfterLastEventIdOfClient() {
        ForwardedRequest request = create(resumedAttributes(), RouteKind.STREAMING, port);
        request.start(0);
        request.onStreamVersionAnswered(Optional.empty(), 30);
        assertThat(port.lastSent().lastEventId()).hasValue(12L);
    }

    // Guards against clients that lose what they already received because the engines are full.
    @Test
    void requestThatIsResumedIsNotShedWhateverItsRoute() {
        fillEngines();
        start(RouteKind.IDEMPOTENT);
        assertThat(port.rejections.getLast().reason()).isEqualTo("overloaded");
        create(resumedAttributes(), RouteKind.IDEMPOTENT, port).start(0);
        assertThat(port.sent).hasSize(1);
    }

    // Load pattern: all hosts are killed and restart, and the clients resume their streams at once. Guards against
    // prompts that are prefilled again although an engine still holds them.
    @Test
    void resumesStreamOfClientOnEngineThatHoldsItsPrompt() {
        ForwardedRequest request = startResumed();
        assertThat(port.located).containsExactly(PROMPT);
        assertThat(port.sent).isEmpty();
        EntryTarget holder = EntryTargets.ready("t4", "a");
        request.onPromptLocated(heldBy(holder), 40);
        assertThat(port.lastSent().target()).isEqualTo(holder);
        assertThat(port.lastSent().lastEventId()).hasValue(12L);
    }

    @Test
    void resumesStreamOfClientOnAnyEngineIfNoneHoldsItsPrompt() {
        ForwardedRequest request = startResumed();
        request.onPromptLocated(PromptHolders.NONE, 40);
        assertThat(port.sent).hasSize(1);
        request.onPromptLocated(PromptHolders.NONE, 50);
        assertThat(port.sent).hasSize(1);
    }

    // Load pattern: clients notice only seconds later that all hosts lost power, and come back shortly before their
    // deadlines. Guards against prompts that are prefilled although their streams cannot start in time.
    @Test
    void rejectsStreamAtOnceIfItsPromptCannotBePrefilledInTime() {
        IntStream.range(0, 8)
                .forEach(_ -> prefillEstimates.recordFirstEvent(EntryTargets.SERVICE, PROMPT.tokens(), 1_000));
        ForwardedRequest late = startResumed(900);
        late.onPromptLocated(PromptHolders.NONE, 40);
        assertThat(port.sent).isEmpty();
        assertThat(port.rejections.getFirst().status()).isEqualTo(503);
    }

    // Load pattern: engines of one domain after the other are lost, and their streams go on elsewhere for the second or
    // third time. Guards against prompts that are prefilled again although nothing of them can arrive in time.
    @Test
    void lostStreamIsEndedAtOnceIfItsPromptCannotBePrefilledAgainInTime() {
        IntStream.range(0, 8)
                .forEach(_ -> prefillEstimates.recordFirstEvent(EntryTargets.SERVICE, PROMPT.tokens(), 1_000));
        ForwardedRequest request = startResumed(1_500);
        request.onPromptLocated(PromptHolders.NONE, 40);
        assertThat(port.sent).hasSize(1);
        request.onAttemptLost(1, "unreachable", 700);
        assertThat(port.sent).hasSize(1);
        assertThat(port.rejections.getFirst().status()).isEqualTo(502);
    }

    @Test
    void lostStreamGoesOnWhereItsPromptIsStillHeld() {
        IntStream.range(0, 8)
                .forEach(_ -> prefillEstimates.recordFirstEvent(EntryTargets.SERVICE, PROMPT.tokens(), 1_000));
        ForwardedRequest request = startResumed(1_500);
        request.onPromptLocated(PromptHolders.NONE, 40);
        request.onEvents(1, events(13), 600);
        request.onAttemptLost(1, "closed", 700);
        assertThat(port.sent).hasSize(2);
    }

    @Test
    void sendsStreamShortlyBeforeItsDeadlineToEngineThatHoldsItsPrompt() {
        IntStream.range(0, 8)
                .forEach(_ -> prefillEstimates.recordFirstEvent(EntryTargets.SERVICE, PROMPT.tokens(), 1_000));
        startResumed(900).onPromptLocated(heldBy(EntryTargets.ready("t4", "a")), 40);
        assertThat(port.sent).hasSize(1);
    }

    @Test
    void learnsPrefillTimeFromFirstEventOfPrefilledPromptOnly() {
        for (int i = 0; i < 8; i++) {
            RecordingPort newPort = new RecordingPort();
            ForwardedRequest request = startResumed(TIMEOUT_MILLIS, newPort);
            request.onPromptLocated(i == 0 ? heldBy(EntryTargets.ready("t4", "a")) : PromptHolders.NONE, 0);
            request.onEvents(1, events(13), 1_000);
        }
        assertThat(prefillEstimates
                        .minPrefillMillis(EntryTargets.SERVICE, PROMPT.tokens())
                        .isPresent())
                .isFalse();
    }

    @Test
    void ignoresLocatedPromptAfterClientDisconnected() {
        ForwardedRequest request = startResumed();
        request.onClientDisconnected(20);
        request.onPromptLocated(PromptHolders.NONE, 40);
        assertThat(port.sent).isEmpty();
    }

    private ForwardedRequest startResumed() {
        return startResumed(TIMEOUT_MILLIS);
    }

    private ForwardedRequest startResumed(long timeLeftMillis) {
        return startResumed(timeLeftMillis, port);
    }

    private ForwardedRequest startResumed(long timeLeftMillis, RecordingPort recordingPort) {
        ForwardedRequest request = create(
                new RequestAttributes(
                        "r",
                        OptionalLong.of(timeLeftMillis),
                        Optional.of(12L),
                        Optional.of("first"),
                        0,
                        Optional.of(PROMPT),
                        List.of(),
                        0),
                RouteKind.STREAMING,
                recordingPort);
        request.start(0);
        request.onStreamVersionAnswered(Optional.empty(), 30);
        return request;
    }

    private static PromptHolders heldBy(EntryTarget engine) {
        return new PromptHolders(Optional.of(engine), Set.of(engine.version()), true);
    }

    private static RequestAttributes resumedAttributes() {
        return new RequestAttributes(
                "r", OptionalLong.empty(), Optional.of(12L), Optional.of("first"), 0, Optional.empty(), List.of(), 0);
    }
}
