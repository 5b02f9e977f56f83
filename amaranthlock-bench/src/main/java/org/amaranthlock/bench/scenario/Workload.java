package org.amaranthlock.bench.scenario;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;
import org.amaranthlock.bench.sim.SimulatedRequest;
import org.amaranthlock.coordination.ledger.LedgerPartitions;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Work;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Generates random requests of ten client accounts, three of them large. Not thread-safe. */
public final class Workload {
    /** Service that all requests are sent to. */
    public static final ServiceName SERVICE = new ServiceName("generations");

    /** Profile of {@link #SERVICE}. */
    public static final Profile PROFILE = new Profile("kept", ProfileKind.KEPT_ALIVE, 6, 0, 600_000);

    private static final int LARGE_ACCOUNTS = 3;
    private static final int SMALL_ACCOUNTS = 7;

    /** Share of the requests that the large accounts send together. */
    private static final double LARGE_ACCOUNTS_SHARE = 0.75;

    private static final int PREFIXES_PER_ACCOUNT = 4;
    private static final int MAX_TOKENS = 10_000;
    private static final long STRAGGLER_TIMEOUT_MILLIS = 600_000;

    private final Deployment deployment;
    private final Demand demand;
    private final UniformRandomProvider random;
    private final ContinuousSampler responseLengths;
    private final ContinuousSampler exponential;
    private long createdCount;

    /** Creates a workload that draws from the given random generator. */
    public Workload(Deployment deployment, Demand demand, UniformRandomProvider random) {
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        this.demand = Objects.requireNonNull(demand, "demand");
        this.random = Objects.requireNonNull(random, "random");
        double sigma = deployment.lengthSigma();
        // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        double mu = Math.log(deployment.meanResponseTokens()) - sigma * sigma / 2;
        this.responseLengths = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random), mu, sigma);
        this.exponential = ZigguratSampler.Exponential.of(random);
    }

    /** Returns all accounts. */
    public static List<AccountId> accounts() {
        return IntStream.range(0, LARGE_ACCOUNTS + SMALL_ACCOUNTS)
                .mapToObj(Workload::account)
                .toList();
    }

    /** Returns whether an account is one of the small accounts. */
    public static boolean isSmall(AccountId account) {
        return account.value().startsWith("small");
    }

    /** Draws the time until the next request, in milliseconds. */
    public double nextGapMillis(long nowMillis) {
        double perSecond = demand.utilization()
                * deployment.capacityTokensPerSecond()
                / deployment.meanResponseTokens()
                * demand.factorAt(nowMillis);
        return exponential.sample() * 1_000 / perSecond;
    }

    /** Draws the next request. */
    public SimulatedRequest next(long nowMillis) {
        createdCount++;
        AccountId account = account(drawAccount());
        boolean straggler = random.nextDouble() < demand.stragglerShare();
        double length = responseLengths.sample() * (straggler ? deployment.stragglerFactor() : 1);
        long prefixHash = account.value().hashCode() * 31L + random.nextInt(PREFIXES_PER_ACCOUNT);
        int promptTokens = (int) Math.max(10, exponential.sample() * deployment.meanPromptTokens());
        String key = "bench-" + createdCount;
        long timeoutMillis = straggler ? STRAGGLER_TIMEOUT_MILLIS : deployment.timeoutMillis();
        RequestSpec spec = new RequestSpec(
                LedgerPartitions.requestId(LedgerPartitions.ofKey(key), key),
                account,
                SERVICE,
                PROFILE,
                Optional.empty(),
                createdCount,
                nowMillis,
                nowMillis + timeoutMillis,
                new Work.Generation(
                        "model-1", "", "prompt " + createdCount, List.of(prefixHash), MAX_TOKENS, createdCount));
        int tokens = Math.clamp(Math.round(length), 2, MAX_TOKENS);
        return new SimulatedRequest(spec, promptTokens, prefixHash, tokens, straggler);
    }

    private int drawAccount() {
        if (random.nextDouble() < LARGE_ACCOUNTS_SHARE) {
            return random.nextInt(LARGE_ACCOUNTS);
        }
        return LARGE_ACCOUNTS + random.nextInt(SMALL_ACCOUNTS);
    }

    private static AccountId account(int index) {
        return new AccountId(index < LARGE_ACCOUNTS ? "large-" + index : "small-" + (index - LARGE_ACCOUNTS));
    }
}
