package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ServiceName;
import org.junit.jupiter.api.Test;

class AdmissionPolicyTest {
    private static final long REVOCATION_MILLIS = 5_000;
    private static final long APPLY_MILLIS = 2_500;
    private static final ApiKeyOwner HOLDER = new ApiKeyOwner(new AccountId("shop"), OptionalInt.empty());

    private final AdmissionPolicy rules = new AdmissionPolicy(REVOCATION_MILLIS, APPLY_MILLIS);
    private final CachedConfiguration belief = new CachedConfiguration();

    @Test
    void aRequestIsAskedToComeBackWhileNoConfigurationIsKnown() {
        assertThat(status(decide("/p/x", "key", Long.MAX_VALUE))).isEqualTo(503);
    }

    @Test
    void theLongestPrefixDecides() {
        belief.confirm(configuration(1), 0);
        AdmissionResult.Admitted admitted = (AdmissionResult.Admitted) decide("/p/long/x", "key", 0);
        assertThat(admitted.route().name()).isEqualTo("long");
    }

    @Test
    void aPrefixEndsAtItsSlash() {
        belief.confirm(configuration(1), 0);
        assertThat(status(decide("/px", "key", 0))).isEqualTo(404);
    }

    // Guards against keys that work on after their revocation on a host that lost the store.
    @Test
    void aKeyIsNotHonouredWhenItsRevocationMayBeInForce() {
        belief.confirm(configuration(1), 0);
        assertThat(decide("/p/x", "key", 4_500)).isInstanceOf(AdmissionResult.Admitted.class);
        assertThat(status(decide("/p/x", "key", 4_600))).isEqualTo(503);
    }

    // Guards against a denial by an old configuration of what a newer one allows.
    @Test
    void nothingIsDeniedByAnOldConfiguration() {
        belief.confirm(configuration(1), 0);
        assertThat(status(decide("/none/", "key", APPLY_MILLIS))).isEqualTo(503);
        assertThat(status(decide("/p/x", "other", APPLY_MILLIS))).isEqualTo(503);
        assertThat(status(decide("/none/", "key", 100))).isEqualTo(404);
        assertThat(status(decide("/p/x", "other", 100))).isEqualTo(401);
    }

    @Test
    void anOpenRouteNeedsNoKeyHoweverOldTheConfiguration() {
        belief.confirm(configuration(1), 0);
        assertThat(decide("/open/x", null, 60_000)).isInstanceOf(AdmissionResult.Admitted.class);
    }

    @Test
    void aConfigurationNeverGoesBack() {
        assertThat(belief.confirm(configuration(7), 100)).isTrue();
        assertThat(belief.confirm(configuration(5), 200)).isFalse();
        assertThat(belief.current().orElseThrow().version()).isEqualTo(7);
        assertThat(belief.ageMillis(300)).isEqualTo(200);
    }

    @Test
    void theAgeCountsFromWhenTheConfirmingCallWasSent() {
        belief.confirm(configuration(7), 100);
        belief.confirm(configuration(7), 900);
        assertThat(belief.ageMillis(1_000)).isEqualTo(100);
    }

    // Guards against a host that wakes up and takes its configuration for fresh.
    @Test
    void suspensionAgesConfiguration() {
        long[] clocks = {0, 1_000_000};
        SuspensionAwareClock clock = new SuspensionAwareClock(() -> clocks[0], () -> clocks[1]);
        clocks[0] += 10;
        clocks[1] += 6_010;
        assertThat(clock.millis()).isEqualTo(6_010);
    }

    @Test
    void clockMovedBackDoesNotMakeConfigurationYounger() {
        long[] clocks = {0, 1_000_000};
        SuspensionAwareClock clock = new SuspensionAwareClock(() -> clocks[0], () -> clocks[1]);
        clocks[0] += 1_000;
        clocks[1] -= 5_000;
        assertThat(clock.millis()).isEqualTo(1_000);
    }

    private AdmissionResult decide(String path, String key, long ageMillis) {
        return rules.decide(belief, "Shop.example:80", path, Optional.ofNullable(key), ageMillis);
    }

    private static int status(AdmissionResult verdict) {
        return ((AdmissionResult.Rejected) verdict).rejection().status();
    }

    private static EntryConfiguration configuration(long version) {
        return new EntryConfiguration(
                version,
                List.of(route("short", "/p/", false), route("long", "/p/long/", false), route("open", "/open/", true)),
                Map.of(),
                Map.of("key", HOLDER),
                true,
                RequestLimits.INITIAL);
    }

    private static Route route(String name, String prefix, boolean open) {
        return new Route(
                name,
                "shop.example",
                prefix,
                RouteKind.IDEMPOTENT,
                1_000,
                200,
                2,
                1,
                open,
                false,
                List.of(new WeightedService(new ServiceName("desk"), 1)));
    }
}
