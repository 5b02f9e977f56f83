package org.amaranthlock.coordination.forwarding;

import java.util.Optional;

/**
 * Decides whether a request may be forwarded, based only on the cached configuration and its age.
 *
 * <p>The store may be unreachable from some hosts while an operator revokes keys. A host that cannot confirm its
 * configuration therefore stops accepting keys shortly before a revoked one must no longer be accepted, and asks
 * clients to retry on another host. It never reports that a key or route does not exist.
 */
public final class AdmissionPolicy {
    /** Margin by which keys stop being accepted early; covers clocks that run at different rates. */
    private static final long REVOCATION_MARGIN_MILLIS = 400;

    /** Delay before a retry, which goes to another host; leaves time for the client to connect to it. */
    private static final long OTHER_HOST_RETRY_MILLIS = 50;

    private final long revocationMillis;
    private final long applyMillis;

    /**
     * Creates a policy.
     *
     * @param revocationMillis time after its revocation by which a key must no longer be accepted, in milliseconds
     * @param applyMillis time within which hosts must apply a new configuration, in milliseconds
     */
    public AdmissionPolicy(long revocationMillis, long applyMillis) {
        this.revocationMillis = revocationMillis;
        this.applyMillis = applyMillis;
    }

    /**
     * Decides whether to admit a request.
     *
     * @param cachedConfiguration the configuration that this host knows
     * @param host value of the {@code Host} header
     * @param path path without query
     * @param key API key of the request, if it carries one
     * @param ageMillis age of the configuration, in milliseconds
     */
    public AdmissionResult decide(
            CachedConfiguration cachedConfiguration, String host, String path, Optional<String> key, long ageMillis) {
        if (cachedConfiguration.current().isEmpty()) {
            return rejected(Rejection.retryLater(OTHER_HOST_RETRY_MILLIS, "no-configuration"));
        }
        EntryConfiguration configuration = cachedConfiguration.current().get();
        return decide(configuration, configuration.route(host, path), key.flatMap(configuration::keyOwner), ageMillis);
    }

    /**
     * Decides whether to admit a request whose route and key have been looked up.
     *
     * @param route the route that matches the request; empty if none does
     * @param owner the owner of its API key; empty if it carries no known key
     */
    public AdmissionResult decide(
            EntryConfiguration configuration, Optional<Route> route, Optional<ApiKeyOwner> owner, long ageMillis) {
        if (route.isEmpty()) {
            return rejected(deny(404, "no-route", ageMillis));
        }
        if (route.get().keyless() || !configuration.keysRequired()) {
            return new AdmissionResult.Admitted(route.get(), owner, configuration);
        }
        if (!mayAcceptKeys(ageMillis)) {
            return rejected(Rejection.retryLater(OTHER_HOST_RETRY_MILLIS, "keys-not-confirmed"));
        }
        if (owner.isEmpty()) {
            return rejected(deny(401, "unknown-key", ageMillis));
        }
        return new AdmissionResult.Admitted(route.get(), owner, configuration);
    }

    /** Returns whether keys may still be accepted based on a configuration of this age. */
    public boolean mayAcceptKeys(long ageMillis) {
        return ageMillis < revocationMillis - REVOCATION_MARGIN_MILLIS;
    }

    /** Returns whether a configuration of this age can be assumed to be the one in force. */
    public boolean isFresh(long ageMillis) {
        return ageMillis < applyMillis;
    }

    /** Returns a final rejection if the configuration is fresh; a newer one might allow the request on another host. */
    private Rejection deny(int status, String reason, long ageMillis) {
        if (isFresh(ageMillis)) {
            return Rejection.of(status, reason);
        }
        return Rejection.retryLater(OTHER_HOST_RETRY_MILLIS, reason + "-not-confirmed");
    }

    private static AdmissionResult rejected(Rejection rejection) {
        return new AdmissionResult.Rejected(rejection);
    }
}
