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
    private static final ApiKeyOwner OWNER = new ApiKeyOwner(new AccountId("shop"), OptionalInt.empty());

    private final AdmissionPolicy policy = new AdmissionPolicy(REVOCATION_MILLIS, APPLY_MILLIS);
    private final CachedConfiguration cachedConfiguration = new CachedConfiguration();

    @Test
    void rejectsWith503WithoutConfiguration() {
        assertThat(status(decide("/p/x", "key", Long.MAX_VALUE))).isEqualTo(503);
    }

    @Test
    void longestPrefixMatches() {
        cachedConfiguration.confirm(configuration(1), 0);
        AdmissionResult.Admitted admitted = (AdmissionResult.Admitted) decide("/p/long/x", "key", 0);
        assertThat(admitted.route().name()).isEqualTo("long");
    }

    @Test
    void prefixMatchesWholePathSegments() {
        cachedConfiguration.confirm(configuration(1), 0);
        assertThat(status(decide("/px", "key", 0))).isEqualTo(404);
    }

    // Guards against accepting revoked keys on a host that cannot reach the store.
    @Test
    void rejectsKeyThatMayHaveBeenRevoked() {
        cachedConfiguration.confirm(configuration(1), 0);
        assertThat(decide("/p/x", "key", 4_500)).isInstanceOf(AdmissionResult.Admitted.class);
        assertThat(status(decide("/p/x", "key", 4_600))).isEqualTo(503);
    }

    // Guards against denying, based on a stale configuration, a request that a newer one allows.
    @Test
    void staleConfigurationDeniesNothing() {
        cachedConfiguration.confirm(configuration(1), 0);
        assertThat(status(decide("/none/", "key", APPLY_MILLIS))).isEqualTo(503);
        assertThat(status(decide("/p/x", "other", APPLY_MILLIS))).isEqualTo(503);
        assertThat(status(decide("/none/", "key", 100))).isEqualTo(404);
        assertThat(status(decide("/p/x", "other", 100))).isEqualTo(401);
    }

    @Test
    void keylessRouteAdmitsWithStaleConfiguration() {
        cachedConfiguration.confirm(configuration(1), 0);
        assertThat(decide("/open/x", null, 60_000)).isInstanceOf(AdmissionResult.Admitted.class);
    }

    @Test
    void ignoresOlderConfigurationVersion() {
        assertThat(cachedConfiguration.confirm(configuration(7), 100)).isTrue();
        assertThat(cachedConfiguration.confirm(configuration(5), 200)).isFalse();
        assertThat(cachedConfiguration.current().orElseThrow().version()).isEqualTo(7);
        assertThat(cachedConfiguration.ageMillis(300)).isEqualTo(200);
    }

    @Test
    void ageCountsFromSendTimeOfConfirmingCall() {
        cachedConfiguration.confirm(configuration(7), 100);
        cachedConfiguration.confirm(configuration(7), 900);
        assertThat(cachedConfiguration.ageMillis(1_000)).isEqualTo(100);
    }

    // Guards against a host that regards its configuration as fresh after a suspension.
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
        return policy.decide(cachedConfiguration, "Shop.example:80", path, Optional.ofNullable(key), ageMillis);
    }

    private static int status(AdmissionResult result) {
        return ((AdmissionResult.Rejected) result).rejection().status();
    }

    private static EntryConfiguration configuration(long version) {
        return new EntryConfiguration(
                version,
                List.of(route("short", "/p/", false), route("long", "/p/long/", false), route("open", "/open/", true)),
                Map.of(),
                Map.of("key", OWNER),
                true,
                RequestLimits.INITIAL);
    }

    private static Route route(String name, String prefix, boolean keyless) {
        return new Route(
                name,
                "shop.example",
                prefix,
                RouteKind.IDEMPOTENT,
                1_000,
                200,
                2,
                1,
                keyless,
                false,
                List.of(new WeightedService(new ServiceName("desk"), 1)));
    }
}
