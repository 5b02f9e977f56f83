package org.amaranthlock.coordination.forwarding;

import java.util.Optional;

/** Result of the admission check for a request. */
public sealed interface AdmissionResult {
    /**
     * The request may be forwarded.
     *
     * @param route the route that matches the request
     * @param keyOwner owner of its API key; empty if it carries no known key
     * @param configuration configuration on which the decision is based
     */
    record Admitted(Route route, Optional<ApiKeyOwner> keyOwner, EntryConfiguration configuration)
            implements AdmissionResult {}

    /** The request is rejected before anything is sent to a target. */
    record Rejected(Rejection rejection) implements AdmissionResult {}
}
