package org.amaranthlock.coordination.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.amaranthlock.coordination.poison.PoisonRegistry.Running;
import org.amaranthlock.coordination.poison.PoisonRegistry.Standing;
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

    private void die(RequestSpec... running) {
        registry.targetDied(
                TARGET, Stream.of(running).map(spec -> new Running(spec, 10)).toList(), NOW);
    }

    /** Guards against a request that crashes target after target. */
    @Test
    void aSecondDeathAloneCondemnsASuspect() {
        RequestSpec bad = spec("bad", 1);
        RequestSpec good = spec("good", 2);
        die(bad, good);
        assertThat(registry.standing(bad, NOW)).isEqualTo(Standing.SUSPECT);
        assertThat(registry.standing(good, NOW)).isEqualTo(Standing.SUSPECT);

        die(bad);

        assertThat(registry.standing(bad, NOW)).isEqualTo(Standing.CONDEMNED);
        assertThat(registry.standing(good, NOW)).isEqualTo(Standing.SUSPECT);
    }

    /** Guards against innocent requests that are condemned because they shared targets with a bad one. */
    @Test
    void sharedDeathsCondemnOnlyAtTwoFullDeaths() {
        RequestSpec one = spec("one", 1);
        RequestSpec other = spec("other", 2);
        for (int deaths = 1; deaths <= 3; deaths++) {
            die(one, other);
            assertThat(registry.standing(one, NOW)).isEqualTo(Standing.SUSPECT);
        }

        die(one, other);

        assertThat(registry.standing(one, NOW)).isEqualTo(Standing.CONDEMNED);
    }

    /** Guards against a condemned request that is sent again under another key or to another router. */
    @Test
    void marksFollowTheContentAndSpread() {
        die(spec("bad", 1));
        die(spec("bad", 1));
        DefaultPoisonRegistry other = new DefaultPoisonRegistry();

        other.learn(registry.marksToSpread(8, NOW), NOW);

        assertThat(other.standing(spec("new-key", 1), NOW)).isEqualTo(Standing.CONDEMNED);
        assertThat(other.standing(spec("new-key", 2), NOW)).isEqualTo(Standing.CLEAN);
        assertThat(other.standing(spec("bad", 1), NOW + DefaultPoisonRegistry.MARK_MILLIS))
                .isEqualTo(Standing.CLEAN);
    }

    /** Guards against a cleared request that old gossip makes a suspect again. */
    @Test
    void aCompletedRunClearsForGood() {
        die(spec("good", 1), spec("other", 2));
        List<PoisonMark> gossip = registry.marksToSpread(8, NOW);

        registry.completed(spec("good", 1), NOW + 1);
        registry.learn(gossip, NOW + 2);

        assertThat(registry.standing(spec("good", 1), NOW + 2)).isEqualTo(Standing.CLEAN);
        assertThat(registry.standing(spec("other", 2), NOW + 2)).isEqualTo(Standing.SUSPECT);
    }
}
