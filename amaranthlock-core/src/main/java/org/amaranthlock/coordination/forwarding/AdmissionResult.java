package org.amaranthlock.coordination.forwarding;

import java.util.Optional;

/** Result of the admission of a request. */
public sealed interface AdmissionResult {
    /**
     * The request may be forwarded.
     *
     * @param route its route
     * @param keyOwner holder of its key; empty if it carries no key that is known
     * @param configuration configuration that allowed it
     */
    record Admitted(Route route, Optional<ApiKeyOwner> keyOwner, EntryConfiguration configuration)
            implements AdmissionResult {}

    /** The request is turned away before anything was sent. */
    record Rejected(Rejection rejection) implements AdmissionResult {}
}
