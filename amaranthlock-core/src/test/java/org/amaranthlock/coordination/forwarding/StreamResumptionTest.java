package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthlock.coordination.streamversion.StreamKey;
import org.amaranthlock.model.SoftwareVersion;
import org.junit.jupiter.api.Test;

/** Tests which version a stream goes on at that its client resumes at this host. */
class StreamResumptionTest extends AbstractForwardedRequestTest {
    private static final StreamKey STREAM = StreamKey.of("first");

    StreamResumptionTest() {
        registerVersions("v1", "v2", "v1", "v2");
    }

    @Test
    void streamGoesOnAtTheVersionThatThisHostKnows() {
        streamVersions.record(STREAM, V2, 0);
        resume(Optional.empty());
        assertThat(port.asked).isEmpty();
        assertThat(port.lastSent().target().version()).isEqualTo(V2);
    }

    @Test
    void streamGoesOnAtTheVersionThatAnotherHostKnows() {
        ForwardedRequest request = resume(Optional.empty());
        assertThat(port.asked).containsExactly(STREAM);
        assertThat(port.sent).isEmpty();
        request.onStreamVersionAnswered(Optional.of(V1), 30);
        assertThat(port.lastSent().target().version()).isEqualTo(V1);
    }

    // Guards against the engine with a copy that an older build made at another version.
    @Test
    void promptThatAnEngineHoldsDoesNotOutweighTheKnownVersion() {
        streamVersions.record(STREAM, V2, 0);
        ForwardedRequest request = resume(Optional.of(PROMPT));
        EntryTarget holder = EntryTargets.ofVersion("t0", "a", "v1");
        request.onPromptLocated(new PromptHolders(Optional.of(holder), Set.of(V1, V2), true), 40);
        assertThat(port.lastSent().target().version()).isEqualTo(V2);
    }

    @Test
    void versionOfAllEnginesThatHoldThePromptIsTakenIfNoHostKnowsIt() {
        ForwardedRequest request = resume(Optional.of(PROMPT));
        request.onStreamVersionAnswered(Optional.empty(), 30);
        EntryTarget holder = EntryTargets.ofVersion("t1", "b", "v2");
        request.onPromptLocated(new PromptHolders(Optional.of(holder), Set.of(V2), true), 40);
        assertThat(port.lastSent().target()).isEqualTo(holder);
    }

    // Guards against a guess: engines of two versions hold the prompt, or one did not answer.
    @Test
    void streamOfUnknownVersionIsRejectedWhileTwoVersionsServe() {
        EntryTarget holder = EntryTargets.ofVersion("t1", "b", "v2");
        List<PromptHolders> inconclusive = List.of(
                PromptHolders.NONE,
                new PromptHolders(Optional.of(holder), Set.of(V1, V2), true),
                new PromptHolders(Optional.of(holder), Set.of(V2), false));
        for (PromptHolders holders : inconclusive) {
            ForwardedRequest request = resume(Optional.of(PROMPT));
            request.onStreamVersionAnswered(Optional.empty(), 30);
            request.onPromptLocated(holders, 40);
            assertThat(port.sent).isEmpty();
            assertThat(port.rejections.getLast().status()).isEqualTo(503);
            assertThat(port.rejections.getLast().reason()).isEqualTo("version-unknown");
        }
    }

    // Guards against rejecting all streams that hosts lost when they were killed, although one version only serves.
    @Test
    void streamOfUnknownVersionGoesOnWhileOneVersionHasServedForLongerThanAStreamLasts() {
        registerVersions("v2", "v2"); // v1 is gone from 0 on
        resumeWithoutKnownVersion(TIMEOUT_MILLIS - 100);
        assertThat(port.sent).isEmpty();
        assertThat(port.rejections).hasSize(1);
        resumeWithoutKnownVersion(TIMEOUT_MILLIS);
        assertThat(port.lastSent().target().version()).isEqualTo(V2);
    }

    // Guards against a client that waits for a version that is gone.
    @Test
    void streamOfVersionThatIsGoneIsRejectedAtOnce() {
        streamVersions.record(STREAM, new SoftwareVersion("v0"), 0);
        resume(Optional.of(PROMPT));
        assertThat(port.located).isEmpty();
        assertThat(port.rejections.getLast()).isEqualTo(Rejection.of(503, "version-gone"));
    }

    @Test
    void streamThatAnotherHostPassesOnKeepsItsVersion() {
        ForwardedRequest request = create(resumedAttributes(Optional.empty()), RouteKind.STREAMING, port);
        request.bindTo(V2);
        request.startCounted(0);
        assertThat(port.asked).isEmpty();
        assertThat(port.lastSent().target().version()).isEqualTo(V2);
    }

    // Guards against a version that no other host learns before the host of the stream is killed.
    @Test
    void versionOfEachAttemptIsAnnouncedUntilTheStreamHasBegun() {
        ForwardedRequest request = startStream();
        SoftwareVersion first = port.lastSent().target().version();
        request.onAttemptLost(1, "stalled", 100);
        SoftwareVersion second = port.lastSent().target().version();
        assertThat(port.announced).containsExactly(first, second).inOrder();
        request.onEvents(2, events(0), 200);
        request.onAttemptLost(2, "stalled", 300);
        assertThat(port.sent).hasSize(3);
        assertThat(port.announced).hasSize(2);
    }

    @Test
    void answerAfterTheClientLeftIsIgnored() {
        ForwardedRequest request = resume(Optional.empty());
        request.onClientDisconnected(10);
        request.onStreamVersionAnswered(Optional.of(V1), 30);
        assertThat(port.sent).isEmpty();
    }

    private void resumeWithoutKnownVersion(long nowMillis) {
        ForwardedRequest request = create(resumedAttributes(Optional.empty()), RouteKind.STREAMING, port);
        request.start(nowMillis);
        request.onStreamVersionAnswered(Optional.empty(), nowMillis + 30);
    }

    private ForwardedRequest resume(Optional<PromptPart> prompt) {
        ForwardedRequest request = create(resumedAttributes(prompt), RouteKind.STREAMING, port);
        request.start(0);
        return request;
    }

    private static RequestAttributes resumedAttributes(Optional<PromptPart> prompt) {
        return new RequestAttributes(
                "r", OptionalLong.of(TIMEOUT_MILLIS), Optional.of(12L), Optional.of("first"), 0, prompt, List.of(), 0);
    }
}
