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
 * Requests of random accounts at a constant rate: 85% kept-alive generations, 10% retriable calls and 5%
 * at-most-once calls.
 */
final class RequestSource {
    private static final int PROMPT_CHARACTERS = 2_000;
    private static final int PREFIXES = 8;
    private static final long DEADLINE_MILLIS = 600_000;
    private static final double AT_MOST_ONCE = 0.05;
    private static final double RETRIABLE = 0.10;

    private final FleetSize size;
    private final UniformRandomProvider random;
    private final Map<HostId, Double> due = new HashMap<>();
    private long sent;

    RequestSource(FleetSize size, long seed) {
        this.size = size;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    long sent() {
        return sent;
    }

    /** Returns the number of requests that reach a router in the next {@code millis} milliseconds. */
    int due(HostId router, long millis) {
        double sum = due.computeIfAbsent(router, _ -> random.nextDouble()) + size.requestsPerRouter() * millis / 1000;
        due.put(router, sum - Math.floor(sum));
        return (int) sum;
    }

    RequestEvent.Arrived next(long nowMillis) {
        long number = sent++;
        AccountId account = new AccountId("account-" + random.nextInt(size.accounts()));
        IdempotencyKey key = new IdempotencyKey("key-" + number);
        int partition = LedgerPartitions.ofKey(account + "/" + key.value());
        ProfileKind kind = kind(random.nextDouble());
        Profile profile = new Profile("profile", kind, 3, 5, DEADLINE_MILLIS);
        RequestSpec spec = new RequestSpec(
                LedgerPartitions.requestId(partition, Long.toString(1_000_000_000_000L + number, 36)),
                account,
                new ServiceName(FleetEntries.service(random.nextInt(FleetEntries.SERVICES))),
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
        for (int i = 0; i < PREFIXES; i++) {
            prefixes.add(number * PREFIXES + i);
        }
        return new Work.Generation(
                "model", "", "p".repeat(PROMPT_CHARACTERS), prefixes, Math.max(1, size.tokens()), number);
    }

    private static ProfileKind kind(double draw) {
        if (draw < AT_MOST_ONCE) {
            return ProfileKind.AT_MOST_ONCE;
        }
        return draw < AT_MOST_ONCE + RETRIABLE ? ProfileKind.RETRIABLE : ProfileKind.KEPT_ALIVE;
    }
}
