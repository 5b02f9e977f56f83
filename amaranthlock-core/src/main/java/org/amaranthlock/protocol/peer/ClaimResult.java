package org.amaranthlock.protocol.peer;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.ServiceResponse;

/** Decision of a ledger partition on the claim of an at-most-once request. */
public sealed interface ClaimResult {
    /**
     * The asking router, and only it, may dispatch the request.
     *
     * @param fence fencing number, growing per partition
     */
    record Granted(long fence) implements ClaimResult {}

    /**
     * Another request with this key was granted and is not closed.
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
     * The key was closed.
     *
     * @param record the outcome
     * @param response the stored answer, if it ran and was small enough to store
     * @param fence fencing number of the closed claim; 0 if it is not known any more
     */
    record Closed(OutcomeRecord record, Optional<ServiceResponse> response, long fence) implements ClaimResult {
        public Closed {
            Objects.requireNonNull(record, "record");
            Objects.requireNonNull(response, "response");
        }
    }

    /** The key was used with another content. */
    record KeyReused() implements ClaimResult {}

    /**
     * No claim exists and none was made; the request was not dispatched.
     *
     * @param reason explanation
     * @param keyUnused whether the owner of the partition has the state of its claims and no request had used the key;
     *     if not, an earlier request with the key may have been executed
     */
    record Unavailable(String reason, boolean keyUnused) implements ClaimResult {
        public Unavailable {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
