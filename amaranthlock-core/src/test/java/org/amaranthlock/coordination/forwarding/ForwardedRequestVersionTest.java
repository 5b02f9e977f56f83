package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.IntStream;
import org.amaranthlock.model.SoftwareVersion;
import org.junit.jupiter.api.Test;

/** Tests event streams while targets of several software versions serve side by side. */
class ForwardedRequestVersionTest extends AbstractForwardedRequestTest {
    /** Streams, each with two retries; more would use up the retry budget. */
    private static final int ROUNDS = 8;

    // Guards against a stream that goes on at a target of another version.
    @Test
    void streamGoesOnAtTheVersionThatBeganIt() {
        registerVersions("v1", "v2", "v1", "v2", "v1", "v2");
        for (int round = 0; round < ROUNDS; round++) {
            port.sent.clear();
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0, 1), 100);
            request.onAttemptLost(1, "stalled", 200);
            request.onAttemptLost(2, "stalled", 300);
            assertWithMessage("round %s: %s", round, port.decisions.getLast())
                    .that(port.sent)
                    .hasSize(3);
            assertThat(versions(port.sent).stream().distinct().toList()).hasSize(1);
            request.onClientDisconnected(400);
        }
    }

    // Guards against a stream without any event that waits for a version although none has begun it.
    @Test
    void streamWithoutEventMayBeginAtAnyVersion() {
        registerVersions("v1", "v2");
        ForwardedRequest request = startStream();
        request.onAttemptLost(1, "stalled", 100);
        assertThat(versions(port.sent)).containsExactly(V1, V2);
    }

    // Guards against copies that are of no use, because their stream must not go on where they are.
    @Test
    void copyIsKeptAtAnEngineOfTheSameVersion() {
        registerVersions("v1", "v2", "v2", "v1", "v1", "v2");
        IntStream.range(0, 20).forEach(_ -> startStream());
        List<Attempt> withCopy = port.sent.stream()
                .filter(attempt -> attempt.backupTarget().isPresent())
                .toList();
        assertThat(withCopy).isNotEmpty();
        withCopy.forEach(attempt -> assertThat(attempt.backupTarget().get().version())
                .isEqualTo(attempt.target().version()));
    }

    // Guards against a client that waits until its deadline for a version of which no target is left.
    @Test
    void streamIsBrokenOffWhenItsVersionIsGone() {
        registerVersions("v1", "v2");
        ForwardedRequest request = startStream();
        request.onEvents(1, events(0, 1), 100);
        EntryTarget left = port.sent.getFirst().target().version().equals(V1)
                ? EntryTargets.ofVersion("t1", "b", "v2")
                : EntryTargets.ofVersion("t0", "a", "v1");
        loadBalancer.update(new TargetTable(List.of(left)));
        request.onAttemptLost(1, "stalled", 200);
        assertThat(port.sent).hasSize(1);
        assertThat(port.aborted).isTrue();
        assertThat(port.decisions.getLast().cause()).isEqualTo("version-gone");
    }

    // Guards against a client that comes back, again and again, for a version that is not served any more.
    @Test
    void clientIsNotAskedToComeBackForVersionThatIsGone() {
        registerVersions("v1");
        ForwardedRequest request = create(requestAttributes(), RouteKind.STREAMING, port);
        request.bindTo(V2);
        request.start(0);
        assertThat(port.rejections.getLast()).isEqualTo(Rejection.of(503, "version-gone"));
    }

    // Guards against a stream that is given up although a target of its version is only out of reach for a moment.
    @Test
    void streamWaitsForTargetOfItsVersion() {
        registerVersions("v1", "v2");
        ForwardedRequest request = startStream();
        request.onEvents(1, events(0, 1), 100);
        EntryTarget first = port.sent.getFirst().target();
        loadBalancer.recordUnreachable(first, 190);
        request.onAttemptLost(1, "unreachable", 200);
        assertThat(port.aborted).isFalse();
        request.onTimer(1_400);
        assertThat(port.sent).hasSize(2);
        assertThat(port.sent.get(1).target()).isEqualTo(first);
    }

    // Guards against targets without a version, all of which would be shut out from each other's streams.
    @Test
    void targetsWithoutVersionServeEachOthersStreams() {
        ForwardedRequest request = startStream();
        request.onEvents(1, events(0, 1), 100);
        request.onAttemptLost(1, "stalled", 200);
        assertThat(port.sent).hasSize(2);
    }

    private static List<SoftwareVersion> versions(List<Attempt> attempts) {
        return attempts.stream().map(attempt -> attempt.target().version()).toList();
    }
}
