package org.amaranthlock.coordination.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.amaranthlock.coordination.poison.PoisonRegistry.PoisonState;
import org.amaranthlock.coordination.poison.PoisonRegistry.RunningRequest;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.peer.PoisonMark;
import org.junit.jupiter.api.Test;

class DefaultPoisonRegistryTest {
    private static final long NOW = 1_000_000;
    private static final TargetId TARGET = new TargetId("target");

    private final DefaultPoisonRegistry registry = new DefaultPoisonRegistry();

    private static RequestSpec spec(String key, long fingerprint) {
        return new RequestSpec(
                new RequestId("00-" + key),
                new AccountId("shop"),
                new ServiceName("service"),
                new Profile("profile", ProfileKind.KEPT_ALIVE, 3, 1, 1000),
                Optional.of(new IdempotencyKey(key)),
                fingerprint,
                NOW,
                NOW + 1000,
                new Work.ServiceCall("GET", "/", Map.of(), new byte[0]));
    }

    private void crashTarget(RequestSpec... running) {
        registry.recordTargetCrash(
                TARGET,
                Stream.of(running).map(spec -> new RunningRequest(spec, 10)).toList(),
                NOW);
    }

    /** Guards against a request that crashes target after target. */
    @Test
    void crashWhileExclusiveMakesASuspectPoison() {
        RequestSpec bad = spec("bad", 1);
        RequestSpec good = spec("good", 2);
        crashTarget(bad, good);
        assertThat(registry.state(bad, NOW)).isEqualTo(PoisonState.SUSPECT);
        assertThat(registry.state(good, NOW)).isEqualTo(PoisonState.SUSPECT);

        crashTarget(bad);

        assertThat(registry.state(bad, NOW)).isEqualTo(PoisonState.POISON);
        assertThat(registry.state(good, NOW)).isEqualTo(PoisonState.SUSPECT);
    }

    /** Guards against harmless requests that become poison because they ran on the same targets as a poison request. */
    @Test
    void sharedCrashesMakePoisonOnlyAtTwoFullCrashScores() {
        RequestSpec one = spec("one", 1);
        RequestSpec other = spec("other", 2);
        for (int crashes = 1; crashes <= 3; crashes++) {
            crashTarget(one, other);
            assertThat(registry.state(one, NOW)).isEqualTo(PoisonState.SUSPECT);
        }

        crashTarget(one, other);

        assertThat(registry.state(one, NOW)).isEqualTo(PoisonState.POISON);
    }

    /** Guards against a poison request that is accepted under another idempotency key or by another router. */
    @Test
    void marksMatchByContentAndAreGossiped() {
        crashTarget(spec("bad", 1));
        crashTarget(spec("bad", 1));
        DefaultPoisonRegistry other = new DefaultPoisonRegistry();

        other.merge(registry.nextMarksToGossip(8, NOW), NOW);

        assertThat(other.state(spec("new-key", 1), NOW)).isEqualTo(PoisonState.POISON);
        assertThat(other.state(spec("new-key", 2), NOW)).isEqualTo(PoisonState.CLEAN);
        assertThat(other.state(spec("bad", 1), NOW + DefaultPoisonRegistry.MARK_RETENTION_MILLIS))
                .isEqualTo(PoisonState.CLEAN);
    }

    /** Guards against a cleared request that becomes a suspect again through old gossip. */
    @Test
    void completionClearsMarksPermanently() {
        crashTarget(spec("good", 1), spec("other", 2));
        List<PoisonMark> gossip = registry.nextMarksToGossip(8, NOW);

        registry.recordCompletion(spec("good", 1), NOW + 1);
        registry.merge(gossip, NOW + 2);

        assertThat(registry.state(spec("good", 1), NOW + 2)).isEqualTo(PoisonState.CLEAN);
        assertThat(registry.state(spec("other", 2), NOW + 2)).isEqualTo(PoisonState.SUSPECT);
    }
}
