package org.amaranthlock.coordination.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.configuration.AccountSettings;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage.AccountShare;
import org.amaranthlock.protocol.peer.PeerMessage.AccountUsage;
import org.amaranthlock.protocol.peer.PeerMessage.ShareGrant;
import org.amaranthlock.protocol.peer.PeerMessage.UsageReport;

/**
 * Enforces the token rate limits of client accounts across all routers without a remote call per request.
 *
 * <p>Every second each router reports its demand for each rate-limited account to the account's coordinator, the first
 * router in rendezvous order. The coordinator divides the limit in proportion to demand and grants the router its
 * share, at whose rate the router's token bucket is refilled. Not thread-safe.
 */
final class AccountRateLimiter implements CoreComponent {
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    /** Time after which the demand of a router expires unless it reports again. */
    private static final long DEMAND_LIFETIME_MILLIS = 3_000;

    /**
     * Time for which a granted share is used while no coordinator renews it; afterwards the router uses an equal part
     * of the limit.
     */
    private static final long SHARE_LIFETIME_MILLIS = 10_000;

    /** Capacity of a bucket, in seconds of its rate. */
    private static final double BURST_SECONDS = 2;

    /** Fraction of a limit that is divided equally, so that a router with new demand can start. */
    private static final double EQUAL_FRACTION = 0.1;

    private final ConfigurationView configuration;
    private final MembershipView membership;
    private final Map<AccountId, Bucket> buckets = new LinkedHashMap<>();
    private final Map<AccountId, Map<HostId, Demand>> demands = new LinkedHashMap<>();
    private long lastReportMillis;

    AccountRateLimiter(ConfigurationView configuration, MembershipView membership) {
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.membership = Objects.requireNonNull(membership, "membership");
    }

    /**
     * Acquires the predicted tokens of a request from an account's share.
     *
     * @return 0 if the tokens were acquired, else the time in milliseconds after which to retry
     */
    long tryAcquire(AccountId account, double tokens, long nowMillis) {
        OptionalDouble limit = limit(account);
        if (limit.isEmpty()) {
            return 0;
        }
        Bucket bucket = buckets.computeIfAbsent(account, _ -> new Bucket(nowMillis));
        bucket.demandTokens += tokens;
        double rate = bucket.rate(limit.getAsDouble(), membership.liveMembers().size(), nowMillis);
        bucket.refill(rate, nowMillis);
        // Any positive balance admits a request and may become negative, so that a request larger than the burst can
        // run.
        if (bucket.tokens > 0) {
            bucket.tokens -= tokens;
            return 0;
        }
        return 1 + (long) (-bucket.tokens / Math.max(rate, 1e-6) * 1000);
    }

    /** Replaces the predicted by the actual number of tokens once a request has ended. */
    void correctPrediction(AccountId account, double predicted, double actual) {
        Bucket bucket = buckets.get(account);
        if (bucket != null) {
            bucket.tokens += predicted - actual;
            bucket.demandTokens += Math.max(0, actual - predicted);
        }
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        return switch (event) {
            case Event.Tick _ -> reportDemand(nowMillis);
            case Event.PeerReceived(HostId from, UsageReport report) -> grantShares(from, report, nowMillis);
            case Event.PeerReceived(HostId _, ShareGrant grant) -> {
                applyGrant(grant, nowMillis);
                yield List.of();
            }
            default -> List.of();
        };
    }

    private List<Command> reportDemand(long nowMillis) {
        if (nowMillis - lastReportMillis < REPORT_INTERVAL_MILLIS) {
            return List.of();
        }
        double seconds = Math.min(nowMillis - lastReportMillis, 2 * REPORT_INTERVAL_MILLIS) / 1000.0;
        lastReportMillis = nowMillis;
        Map<HostId, List<AccountUsage>> reports = new TreeMap<>();
        buckets.forEach((account, bucket) -> {
            if (bucket.demandTokens > 0) {
                coordinator(account)
                        .ifPresent(router -> reports.computeIfAbsent(router.host(), _ -> new ArrayList<>())
                                .add(new AccountUsage(account, bucket.demandTokens / seconds)));
                bucket.demandTokens = 0;
            }
        });
        List<Command> commands = new ArrayList<>();
        reports.forEach((host, usages) -> commands.add(toPeer(host, new UsageReport(usages))));
        return commands;
    }

    private Command toPeer(HostId host, UsageReport report) {
        if (host.equals(membership.self().host())) {
            return new Command.Raise(new Event.PeerReceived(host, report));
        }
        String address = membership.member(host).map(RouterMember::address).orElseThrow();
        return new Command.SendPeer(host, address, report);
    }

    private List<Command> grantShares(HostId from, UsageReport report, long nowMillis) {
        List<AccountShare> shares = new ArrayList<>();
        for (AccountUsage usage : report.usages()) {
            Map<HostId, Demand> demand = demands.computeIfAbsent(usage.account(), _ -> new TreeMap<>());
            demand.put(from, new Demand(usage.tokensPerSecond(), nowMillis));
            demand.values().removeIf(entry -> nowMillis - entry.atMillis() > DEMAND_LIFETIME_MILLIS);
            shares.add(new AccountShare(usage.account(), computeShare(usage, demand)));
        }
        ShareGrant grant = new ShareGrant(shares);
        if (from.equals(membership.self().host())) {
            applyGrant(grant, nowMillis);
            return List.of();
        }
        return membership
                .member(from)
                .<List<Command>>map(member -> List.of(new Command.SendPeer(from, member.address(), grant)))
                .orElse(List.of());
    }

    private OptionalDouble computeShare(AccountUsage usage, Map<HostId, Demand> demand) {
        OptionalDouble limit = limit(usage.account());
        if (limit.isEmpty()) {
            return limit;
        }
        double total =
                demand.values().stream().mapToDouble(Demand::tokensPerSecond).sum();
        int routers = Math.max(1, membership.liveMembers().size());
        double equalShare = limit.getAsDouble() * EQUAL_FRACTION / routers;
        double shareByDemand =
                limit.getAsDouble() * (1 - EQUAL_FRACTION) * usage.tokensPerSecond() / Math.max(total, 1e-9);
        return OptionalDouble.of(equalShare + shareByDemand);
    }

    private void applyGrant(ShareGrant grant, long nowMillis) {
        for (AccountShare share : grant.shares()) {
            Bucket bucket = buckets.get(share.account());
            if (bucket != null && share.tokensPerSecond().isPresent()) {
                bucket.share = share.tokensPerSecond().getAsDouble();
                bucket.grantedAtMillis = nowMillis;
            }
        }
    }

    private Optional<RouterMember> coordinator(AccountId account) {
        return membership.rendezvousOrder("account/" + account).stream().findFirst();
    }

    private OptionalDouble limit(AccountId account) {
        return configuration
                .account(account)
                .map(AccountSettings::tokensPerSecond)
                .orElse(OptionalDouble.empty());
    }

    private record Demand(double tokensPerSecond, long atMillis) {}

    private static final class Bucket {
        private double tokens;
        private double share;
        private double demandTokens;
        private long grantedAtMillis = Long.MIN_VALUE / 2;
        private long filledAtMillis;

        private Bucket(long nowMillis) {
            // A new bucket starts with the tokens of one second, so that the first request is admitted.
            this.filledAtMillis = nowMillis - 1_000;
        }

        private double rate(double limit, int routers, long nowMillis) {
            boolean granted = nowMillis - grantedAtMillis <= SHARE_LIFETIME_MILLIS;
            return granted ? Math.min(share, limit) : limit / Math.max(1, routers);
        }

        private void refill(double rate, long nowMillis) {
            tokens = Math.min(rate * BURST_SECONDS, tokens + rate * (nowMillis - filledAtMillis) / 1000.0);
            filledAtMillis = nowMillis;
        }
    }
}
