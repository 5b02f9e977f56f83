package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.junit.jupiter.api.Test;

class SlowTargetTest {
    private static final long USUAL_MILLIS = 50;
    private static final long SLOW_MILLIS = 250;

    private RequestFixture fixture = RequestFixture.withTargets(6, Capability.RESUME);
    private int position;

    /** Guards against answers that stay on a slowed target until they miss their deadline. */
    @Test
    void generationOnASlowedTargetContinuesElsewhereAtTheNextToken() {
        start(ProfileKind.KEPT_ALIVE);
        deliver(20, USUAL_MILLIS);
        RequestCommand.OpenStream first = fixture.last(RequestCommand.OpenStream.class);

        deliver(RecentTokenLatency.SAMPLES, SLOW_MILLIS);
        fixture.advance(50);

        RequestCommand.OpenStream second = fixture.last(RequestCommand.OpenStream.class);
        assertThat(second.target()).isNotEqualTo(first.target());
        assertThat(second.prefix()).hasSize(position);
        assertThat(fixture.last(RequestCommand.CancelAttempt.class).attempt()).isEqualTo(first.attempt());
    }

    /** Guards against reading prompts again because other prompts delayed a token or two. */
    @Test
    void twoLongPausesDoNotMoveAGeneration() {
        start(ProfileKind.KEPT_ALIVE);
        deliver(20, USUAL_MILLIS);

        deliver(2, SLOW_MILLIS);
        deliver(RecentTokenLatency.SAMPLES - 2, USUAL_MILLIS);
        fixture.advance(50);

        assertThat(fixture.all(RequestCommand.OpenStream.class)).hasSize(1);
    }

    /** Guards against a request that wanders between targets and keeps them reading its prompt. */
    @Test
    void movesOfARequestAreBounded() {
        start(ProfileKind.KEPT_ALIVE);

        for (int i = 0; i < 10; i++) {
            deliver(RecentTokenLatency.SAMPLES + 1, SLOW_MILLIS);
            fixture.advance(50);
        }

        assertThat(fixture.all(RequestCommand.OpenStream.class)).hasSize(3);
    }

    /** Guards against stopping a slow but live stream when nothing else can take it. */
    @Test
    void streamStaysWhenNoOtherTargetIsAvailable() {
        fixture = RequestFixture.withTargets(1, Capability.RESUME);
        start(ProfileKind.KEPT_ALIVE);

        deliver(RecentTokenLatency.SAMPLES + 1, SLOW_MILLIS);
        fixture.advance(50);

        assertThat(fixture.all(RequestCommand.CancelAttempt.class)).isEmpty();
        assertThat(fixture.all(RequestCommand.OpenStream.class)).hasSize(1);
    }

    /** Guards against moving work whose profile does not promise to continue an answer. */
    @Test
    void retriableGenerationIsNotMoved() {
        start(ProfileKind.RETRIABLE);

        deliver(RecentTokenLatency.SAMPLES + 1, SLOW_MILLIS);
        fixture.advance(50);

        assertThat(fixture.all(RequestCommand.OpenStream.class)).hasSize(1);
    }

    private void start(ProfileKind kind) {
        fixture.medianTokenLatency = USUAL_MILLIS;
        RequestSpec spec = fixture.generation("a", kind, 1000);
        fixture.send(new RequestEvent.Arrived(spec, OptionalInt.empty()));
        fixture.send(new RequestEvent.CheckpointFound(spec.id(), Optional.empty(), true));
    }

    /** Delivers single tokens of the present attempt, each after a pause. */
    private void deliver(int tokens, long gapMillis) {
        for (int i = 0; i < tokens; i++) {
            fixture.now += gapMillis;
            RequestCommand.OpenStream open = fixture.last(RequestCommand.OpenStream.class);
            List<String> token = Collections.nCopies(1, "t");
            fixture.send(new RequestEvent.TokensReceived(open.attempt(), position, token));
            position++;
        }
    }
}
