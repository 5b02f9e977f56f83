package org.amaranthlock.coordination.forwarding;

import java.util.Optional;

/**
 * Decides whether a request may be forwarded, from the configuration and its age alone.
 *
 * <p>Load pattern: the store refuses some hosts while an operator takes keys away. A host that cannot confirm its
 * configuration sends keyed requests to other hosts in time, and never says that a key or route does not exist.
 */
public final class AdmissionPolicy {
    /** Safety distance to the bound within which a revoked key stops working; covers clocks that differ in pace. */
    private static final long REVOCATION_MARGIN_MILLIS = 400;

    /** A retry reaches another host; a short pause lets the client's connection go there. */
    private static final long OTHER_HOST_MILLIS = 50;

    private final long revocationMillis;
    private final long freshMillis;

    /**
     * Creates the rules.
     *
     * @param revocationMillis time after which a key that was taken away must not work any more, milliseconds
     * @param applyMillis time within which a configuration must be in force, milliseconds
     */
    public AdmissionPolicy(long revocationMillis, long applyMillis) {
        this.revocationMillis = revocationMillis;
        this.freshMillis = applyMillis;
    }

    /**
     * Decides on a request.
     *
     * @param key API key of the request, if it carries one
     * @param ageMillis age of the configuration
     */
    public AdmissionResult decide(
            CachedConfiguration belief, String host, String path, Optional<String> key, long ageMillis) {
        if (belief.current().isEmpty()) {
            return rejected(Rejection.retryLater(OTHER_HOST_MILLIS, "no-configuration"));
        }
        EntryConfiguration configuration = belief.current().get();
        Optional<Route> route = configuration.route(host, path);
        if (route.isEmpty()) {
            return rejected(denial(404, "no-route", ageMillis));
        }
        Optional<ApiKeyOwner> holder = key.flatMap(configuration::keyOwner);
        if (route.get().keyless() || !configuration.keysRequired()) {
            return new AdmissionResult.Admitted(route.get(), holder, configuration);
        }
        if (!mayHonorKeys(ageMillis)) {
            return rejected(Rejection.retryLater(OTHER_HOST_MILLIS, "keys-not-confirmed"));
        }
        if (holder.isEmpty()) {
            return rejected(denial(401, "unknown-key", ageMillis));
        }
        return new AdmissionResult.Admitted(route.get(), holder, configuration);
    }

    /** Returns whether keys may still be honoured with a configuration of this age. */
    public boolean mayHonorKeys(long ageMillis) {
        return ageMillis < revocationMillis - REVOCATION_MARGIN_MILLIS;
    }

    /** Returns whether a configuration of this age can be taken for the one in force. */
    public boolean isFresh(long ageMillis) {
        return ageMillis < freshMillis;
    }

    private Rejection denial(int status, String reason, long ageMillis) {
        if (isFresh(ageMillis)) {
            return Rejection.of(status, reason);
        }
        return Rejection.retryLater(OTHER_HOST_MILLIS, reason + "-not-confirmed");
    }

    private static AdmissionResult rejected(Rejection rejection) {
        return new AdmissionResult.Rejected(rejection);
    }
}
