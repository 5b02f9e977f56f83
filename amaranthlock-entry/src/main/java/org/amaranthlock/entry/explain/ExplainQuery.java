package org.amaranthlock.entry.explain;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.platform.UnsentRequest;

/** Request of which an operator wants to know where it would go. */
public sealed interface ExplainQuery {
    /**
     * Request in progress.
     *
     * @param id id that its client chose
     */
    record InProgress(String id) implements ExplainQuery {
        public InProgress {
            Objects.requireNonNull(id, "id");
        }
    }

    /**
     * Request that would arrive now.
     *
     * @param address what names its route
     * @param account client account that would send it; empty for a request without an API key
     * @param request its other properties
     */
    record Unsent(RouteAddress address, Optional<String> account, UnsentRequest request) implements ExplainQuery {
        public Unsent {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(account, "account");
            Objects.requireNonNull(request, "request");
        }
    }

    /** What names a route. */
    sealed interface RouteAddress {
        /** Name of a route in the configuration. */
        record Named(String name) implements RouteAddress {}

        /** Host and path of a request; the method does not decide on its route. */
        record Located(String host, String path) implements RouteAddress {}
    }
}
