package org.amaranthlock.protocol.peer;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.ServiceResponse;

/** Result of claiming an at-most-once request at the owner of its ledger partition. */
public sealed interface ClaimResult {
    /**
     * The claim was granted: only the requesting router may dispatch the request.
     *
     * @param fence fencing number, which increases within a partition
     */
    record Granted(long fence) implements ClaimResult {}

    /**
     * A request with this key was already granted and is not closed.
     *
     * @param holder the router that may dispatch it
     * @param fence fencing number of its claim
     * @param request the request that the claim was granted for
     */
    record Held(HostId holder, long fence, RequestId request) implements ClaimResult {
        public Held {
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * The request with this key was closed.
     *
     * @param record the outcome
     * @param response the stored response, if the request was executed and the response was small enough to store
     * @param fence fencing number of the closed claim, or 0 if it is no longer known
     */
    record Closed(OutcomeRecord record, Optional<ServiceResponse> response, long fence) implements ClaimResult {
        public Closed {
            Objects.requireNonNull(record, "record");
            Objects.requireNonNull(response, "response");
        }
    }

    /** The key was used for a request with different content. */
    record KeyReused() implements ClaimResult {}

    /**
     * The claim could not be made, so the request was not dispatched.
     *
     * @param reason explanation
     * @param keyUnused whether the partition owner knows the state of its claims and no request has used the key; if
     *     false, an earlier request with the key may have been executed
     */
    record Unavailable(String reason, boolean keyUnused) implements ClaimResult {
        public Unavailable {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
