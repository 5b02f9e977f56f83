package org.amaranthlock.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.ledger.LedgerPartitions;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Work;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates requests of random accounts at a constant rate: 85% kept-alive generations, 10% retriable calls and 5%
 * at-most-once calls.
 */
final class RequestGenerator {
    private static final int PROMPT_CHARACTERS = 2_000;
    private static final int PREFIXES_PER_PROMPT = 8;
    private static final long DEADLINE_MILLIS = 600_000;
    private static final double AT_MOST_ONCE_SHARE = 0.05;
    private static final double RETRIABLE_SHARE = 0.10;

    private final FleetSize size;
    private final UniformRandomProvider random;
    private final Map<HostId, Double> requestFractions = new HashMap<>();
    private long requestsCreated;

    RequestGenerator(FleetSize size, long seed) {
        this.size = size;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    long requestsCreated() {
        return requestsCreated;
    }

    /** Returns the number of requests that arrive at a router within the next {@code millis} milliseconds. */
    int dueRequests(HostId router, long millis) {
        // A random initial fraction distributes the requests of the routers evenly over time.
        double sum = requestFractions.computeIfAbsent(router, _ -> random.nextDouble())
                + size.requestsPerRouterPerSecond() * millis / 1000;
        requestFractions.put(router, sum - Math.floor(sum));
        return (int) sum;
    }

    RequestEvent.Arrived next(long nowMillis) {
        long number = requestsCreated++;
        AccountId account = new AccountId("account-" + random.nextInt(size.accounts()));
        IdempotencyKey key = new IdempotencyKey("key-" + number);
        int partition = LedgerPartitions.ofKey(account + "/" + key.value());
        ProfileKind kind = profileKind(random.nextDouble());
        Profile profile = new Profile("profile", kind, 3, 5, DEADLINE_MILLIS);
        RequestSpec spec = new RequestSpec(
                LedgerPartitions.requestId(partition, Long.toString(1_000_000_000_000L + number, 36)),
                account,
                new ServiceName(FleetConfiguration.serviceName(random.nextInt(FleetConfiguration.SERVICES))),
                profile,
                Optional.of(key),
                number,
                nowMillis,
                nowMillis + DEADLINE_MILLIS,
                kind == ProfileKind.KEPT_ALIVE
                        ? generation(number)
                        : new Work.ServiceCall("POST", "/orders", Map.of(), new byte[200]));
        return new RequestEvent.Arrived(spec, OptionalInt.empty());
    }

    private Work generation(long number) {
        List<Long> prefixes = new ArrayList<>();
        for (int i = 0; i < PREFIXES_PER_PROMPT; i++) {
            prefixes.add(number * PREFIXES_PER_PROMPT + i);
        }
        return new Work.Generation(
                "model", "", "p".repeat(PROMPT_CHARACTERS), prefixes, Math.max(1, size.tokensPerGeneration()), number);
    }

    private static ProfileKind profileKind(double draw) {
        if (draw < AT_MOST_ONCE_SHARE) {
            return ProfileKind.AT_MOST_ONCE;
        }
        return draw < AT_MOST_ONCE_SHARE + RETRIABLE_SHARE ? ProfileKind.RETRIABLE : ProfileKind.KEPT_ALIVE;
    }
}
