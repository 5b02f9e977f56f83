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
    private static final long USUAL_TOKEN_LATENCY_MILLIS = 50;
    private static final long SLOW_TOKEN_LATENCY_MILLIS = 250;

    private RequestFixture fixture = RequestFixture.withTargets(6, Capability.RESUME);
    private int position;

    /** Guards against generations that stay on a slow target until they miss their deadline. */
    @Test
    void generationOnASlowTargetMigratesAtTheNextToken() {
        startGeneration(ProfileKind.KEPT_ALIVE);
        sendTokens(20, USUAL_TOKEN_LATENCY_MILLIS);
        RequestCommand.OpenStream first = fixture.lastCommand(RequestCommand.OpenStream.class);

        sendTokens(RecentTokenLatency.SAMPLES, SLOW_TOKEN_LATENCY_MILLIS);
        fixture.advance(50);

        RequestCommand.OpenStream second = fixture.lastCommand(RequestCommand.OpenStream.class);
        assertThat(second.target()).isNotEqualTo(first.target());
        assertThat(second.prefix()).hasSize(position);
        assertThat(fixture.lastCommand(RequestCommand.CancelAttempt.class).attempt())
                .isEqualTo(first.attempt());
    }

    /** Guards against repeating a prefill because the prefills of other requests delayed one or two tokens. */
    @Test
    void twoDelayedTokensDoNotCauseAMigration() {
        startGeneration(ProfileKind.KEPT_ALIVE);
        sendTokens(20, USUAL_TOKEN_LATENCY_MILLIS);

        sendTokens(2, SLOW_TOKEN_LATENCY_MILLIS);
        sendTokens(RecentTokenLatency.SAMPLES - 2, USUAL_TOKEN_LATENCY_MILLIS);
        fixture.advance(50);

        assertThat(fixture.commandsOfType(RequestCommand.OpenStream.class)).hasSize(1);
    }

    /** Guards against a request that migrates between targets repeatedly and causes a prefill each time. */
    @Test
    void migrationsOfARequestAreLimited() {
        startGeneration(ProfileKind.KEPT_ALIVE);

        for (int i = 0; i < 10; i++) {
            sendTokens(RecentTokenLatency.SAMPLES + 1, SLOW_TOKEN_LATENCY_MILLIS);
            fixture.advance(50);
        }

        assertThat(fixture.commandsOfType(RequestCommand.OpenStream.class)).hasSize(3);
    }

    /** Guards against cancelling a slow but active stream when no other target can continue it. */
    @Test
    void streamIsKeptWhenNoOtherTargetIsAvailable() {
        fixture = RequestFixture.withTargets(1, Capability.RESUME);
        startGeneration(ProfileKind.KEPT_ALIVE);

        sendTokens(RecentTokenLatency.SAMPLES + 1, SLOW_TOKEN_LATENCY_MILLIS);
        fixture.advance(50);

        assertThat(fixture.commandsOfType(RequestCommand.CancelAttempt.class)).isEmpty();
        assertThat(fixture.commandsOfType(RequestCommand.OpenStream.class)).hasSize(1);
    }

    /** Guards against migrating a request whose profile does not guarantee that a response is resumed. */
    @Test
    void retriableGenerationIsNotMigrated() {
        startGeneration(ProfileKind.RETRIABLE);

        sendTokens(RecentTokenLatency.SAMPLES + 1, SLOW_TOKEN_LATENCY_MILLIS);
        fixture.advance(50);

        assertThat(fixture.commandsOfType(RequestCommand.OpenStream.class)).hasSize(1);
    }

    private void startGeneration(ProfileKind kind) {
        fixture.medianTokenLatency = USUAL_TOKEN_LATENCY_MILLIS;
        RequestSpec spec = fixture.generation("a", kind, 1000);
        fixture.send(new RequestEvent.Arrived(spec, OptionalInt.empty()));
        fixture.send(new RequestEvent.CheckpointSearchCompleted(spec.id(), Optional.empty(), true));
    }

    /** Delivers single tokens of the current attempt, each after a gap. */
    private void sendTokens(int tokens, long gapMillis) {
        for (int i = 0; i < tokens; i++) {
            fixture.now += gapMillis;
            RequestCommand.OpenStream open = fixture.lastCommand(RequestCommand.OpenStream.class);
            List<String> token = Collections.nCopies(1, "t");
            fixture.send(new RequestEvent.TokensReceived(open.attempt(), position, token));
            position++;
        }
    }
}
