package org.amaranthlock.coordination.targetlimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.amaranthlock.coordination.membership.RendezvousOrder;
import org.amaranthlock.model.ServiceName;

/**
 * Decides to which host this one lends its shares of the limits of a service.
 *
 * <p>Hosts that see the same peers choose the same issuer. When a host chooses another one, it uses and lends its share
 * again only after the former issuer can no longer count it. Not thread-safe.
 */
final class ShareLending {
    /**
     * Time for which a share is not used after it was last lent, in milliseconds: the time for which the borrower
     * counts it, and the time for which the report that lends it may be on its way.
     */
    private static final long RETURN_MILLIS = PermitIssuer.LOAN_MILLIS + 1_000;

    /** Time for which a host that did not answer is not chosen, in milliseconds. */
    private static final long EXCLUSION_MILLIS = 3_000;

    private final String localHost;
    private final Map<ServiceName, Holder> holders = new HashMap<>();
    private final Map<String, Long> excludedUntil = new HashMap<>();

    /** Chosen issuers; cleared when the candidates change. */
    private final Map<ServiceName, String> issuers = new HashMap<>();

    private Set<String> reachable = Set.of();

    /** Time from which this host counts as one of those that share the limits; the others know it by then. */
    private long memberFromMillis = Long.MAX_VALUE;

    /**
     * Host that has the share of a service.
     *
     * @param host name of the host; empty while the share is on its way back
     * @param usableAtMillis time from which the share may be given to a host
     */
    private record Holder(Optional<String> host, long usableAtMillis) {}

    ShareLending(String localHost) {
        this.localHost = Objects.requireNonNull(localHost, "local host");
    }

    /** Sets the time from which this host has shares. */
    void memberFrom(long millis) {
        memberFromMillis = Math.min(memberFromMillis, millis);
    }

    /** Replaces the hosts to which this one is connected. */
    void updateReachable(Set<String> hosts) {
        reachable = Set.copyOf(hosts);
        issuers.clear();
    }

    /** Records that a host did not answer a permit request. */
    void markUnresponsive(String host, long nowMillis) {
        excludedUntil.put(host, nowMillis + EXCLUSION_MILLIS);
        issuers.clear();
    }

    /** Returns the host that issues the permits of a service, as seen by this host. */
    String issuer(ServiceName service, long nowMillis) {
        if (excludedUntil.values().removeIf(until -> until <= nowMillis)) {
            issuers.clear();
        }
        return issuers.computeIfAbsent(service, this::chooseIssuer);
    }

    /** Returns whether this host may use its own share of the limits of a service. */
    boolean hasOwnShare(ServiceName service, long nowMillis) {
        return holder(service, nowMillis).equals(Optional.of(localHost));
    }

    /** Returns the host to which this one lends its share of the limits of a service. */
    Optional<String> borrower(ServiceName service, long nowMillis) {
        return holder(service, nowMillis).filter(host -> !host.equals(localHost));
    }

    private String chooseIssuer(ServiceName service) {
        Set<String> candidates = new HashSet<>(reachable);
        candidates.removeAll(excludedUntil.keySet());
        candidates.add(localHost);
        List<String> ordered = new ArrayList<>(candidates);
        return RendezvousOrder.order(service.value(), ordered, Function.identity())
                .getFirst();
    }

    private Optional<String> holder(ServiceName service, long nowMillis) {
        if (nowMillis < memberFromMillis) {
            return Optional.empty();
        }
        String issuer = issuer(service, nowMillis);
        Holder holder = holders.getOrDefault(service, new Holder(Optional.empty(), nowMillis));
        if (holder.host().isPresent() && !holder.host().get().equals(issuer)) {
            boolean lent = !holder.host().get().equals(localHost);
            holder = new Holder(Optional.empty(), lent ? nowMillis + RETURN_MILLIS : nowMillis);
        }
        if (holder.host().isEmpty() && nowMillis >= holder.usableAtMillis()) {
            holder = new Holder(Optional.of(issuer), nowMillis);
        }
        holders.put(service, holder);
        return holder.host();
    }
}
