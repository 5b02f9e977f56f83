package org.amaranthlock.coordination.targetlimit;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Permits of one host to send requests to targets that name a limit.
 *
 * <p>A request to a limited target needs a permit of this host's stock, whatever kind of attempt it is. While a service
 * has targets without a limit, permits for the limited ones are fetched in advance, so that no request waits for them.
 * Otherwise each request asks for its own. Not thread-safe.
 */
public final class TargetPermits {
    /** Time for which a permit may be used after its arrival, in milliseconds. */
    private static final long STOCK_MILLIS = 500;

    /** Retry delay for clients if the issuer of permits does not answer, in milliseconds. */
    private static final long NO_ISSUER_RETRY_AFTER_MILLIS = 500;

    /**
     * Time after the directory of hosts was first read from which this host has shares, in milliseconds; the other
     * hosts have read the directory or received a report of this host by then.
     */
    private static final long JOIN_DELAY_MILLIS = 6_000;

    private final String localHost;
    private final KnownLimits limits;
    private final ShareLending lending;
    private final PermitIssuer issuer;
    private final PermitTransport transport;
    private final LongSupplier clockMillis;
    private final Map<TargetId, Deque<Long>> stock = new HashMap<>();
    private final Set<ServiceName> prefetching = new HashSet<>();
    private final Map<ServiceName, Long> prefetchFromMillis = new HashMap<>();
    private int hostCount = 1;

    /** Creates the permits of a host that knows no other one yet. */
    public TargetPermits(
            String localHost,
            PermitTransport transport,
            LimitListener listener,
            LongSupplier clockMillis,
            UniformRandomProvider random) {
        this.localHost = Objects.requireNonNull(localHost, "local host");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.limits = new KnownLimits(listener);
        this.lending = new ShareLending(localHost);
        this.issuer = new PermitIssuer(
                limits, () -> hostCount, service -> lending.hasOwnShare(service, clockMillis.getAsLong()), random);
    }

    /** Returns the name of the host. */
    public String localHost() {
        return localHost;
    }

    /** Applies what a response of a target states about its limit. */
    public void observe(TargetIncarnation target, ServiceName service, LimitStatement statement) {
        limits.observe(target, service, statement);
    }

    /** Returns whether a target has named a limit that is in force. */
    public boolean isLimited(TargetIncarnation target) {
        return limits.limit(target).filter(KnownLimit::inForce).isPresent();
    }

    /** Returns whether a request may be sent to a target without asking for a permit. */
    public boolean mayReceive(TargetIncarnation target) {
        return !isLimited(target) || !unexpiredStock(target.id()).isEmpty();
    }

    /** Uses up a permit, if the target is limited, and returns whether a request may be sent to it. */
    public boolean take(TargetIncarnation target) {
        return !isLimited(target) || unexpiredStock(target.id()).pollFirst() != null;
    }

    /**
     * Asks for a permit, which is added to the stock of this host.
     *
     * @param listener called when the request is decided, possibly within this call
     */
    public void request(PermitRequest request, PermitListener listener) {
        long nowMillis = clockMillis.getAsLong();
        String host = lending.issuer(request.service(), nowMillis);
        if (host.equals(localHost)) {
            complete(issuer.issue(request, nowMillis), listener);
            return;
        }
        transport.ask(host, request, decision -> {
            if (decision.isEmpty()) {
                lending.markUnresponsive(host, clockMillis.getAsLong());
            }
            complete(decision.orElse(new PermitDecision.Denied(NO_ISSUER_RETRY_AFTER_MILLIS)), listener);
        });
    }

    /** Fetches a permit for later requests, unless one is on its way or none is expected yet. */
    public void prefetch(ServiceName service, List<TargetId> targets) {
        boolean due = clockMillis.getAsLong() >= prefetchFromMillis.getOrDefault(service, Long.MIN_VALUE);
        if (targets.isEmpty() || !due || !prefetching.add(service)) {
            return;
        }
        request(new PermitRequest(service, targets, PermitRequest.Priority.LOW), (decision, nowMillis) -> {
            prefetching.remove(service);
            if (decision instanceof PermitDecision.Denied denied) {
                prefetchFromMillis.put(service, nowMillis + denied.retryAfterMillis());
            }
        });
    }

    /** Decides on the permit request of another host. */
    public PermitDecision issue(PermitRequest request) {
        return issuer.issue(request, clockMillis.getAsLong());
    }

    /**
     * Applies the report of another host.
     *
     * @param madeAtMillis time at which the other host made the report, from which its loans count
     */
    public void updateRemote(String host, LimitReport report, long madeAtMillis) {
        limits.merge(host, report.limits());
        Set<ServiceName> lent = report.borrowers().entrySet().stream()
                .filter(borrower -> borrower.getValue().equals(localHost))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        issuer.updateLoans(host, lent, madeAtMillis);
    }

    /** Returns the report of this host. */
    public LimitReport report() {
        List<KnownLimit> known = limits.all();
        if (known.isEmpty()) {
            return LimitReport.EMPTY;
        }
        long nowMillis = clockMillis.getAsLong();
        Map<ServiceName, String> borrowers = new HashMap<>();
        known.stream()
                .filter(KnownLimit::inForce)
                .map(KnownLimit::service)
                .distinct()
                .forEach(service ->
                        lending.borrower(service, nowMillis).ifPresent(borrower -> borrowers.put(service, borrower)));
        return new LimitReport(known, borrowers);
    }

    /** Replaces the registered targets; ends the limits of those that others have replaced. */
    public void updateTargets(Collection<TargetIncarnation> registered) {
        limits.retain(registered, clockMillis.getAsLong());
        issuer.retain();
        stock.keySet().removeIf(target -> unexpiredStock(target).isEmpty());
    }

    /** Replaces the hosts to which this one is connected. */
    public void updateReachableHosts(Set<String> hosts) {
        lending.updateReachable(hosts);
    }

    /** Updates the number of hosts that share the limits, including this one. */
    public void updateHostCount(int hosts) {
        Arguments.requirePositive(hosts, "hosts");
        hostCount = hosts;
    }

    /** Records that the directory of hosts, which lists this one, has been read. */
    public void onDirectoryRead() {
        lending.memberFrom(clockMillis.getAsLong() + JOIN_DELAY_MILLIS);
    }

    private void complete(PermitDecision decision, PermitListener listener) {
        long nowMillis = clockMillis.getAsLong();
        if (decision instanceof PermitDecision.Granted granted) {
            stock.computeIfAbsent(granted.target(), _ -> new ArrayDeque<>()).addLast(nowMillis + STOCK_MILLIS);
        }
        listener.onDecision(decision, nowMillis);
    }

    private Deque<Long> unexpiredStock(TargetId target) {
        Deque<Long> permits = stock.getOrDefault(target, new ArrayDeque<>());
        long nowMillis = clockMillis.getAsLong();
        while (!permits.isEmpty() && permits.peekFirst() <= nowMillis) {
            permits.removeFirst();
        }
        return permits;
    }
}
