package org.amaranthlock.router.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Work;

/**
 * Parsed request of a client whose account and service are not resolved yet.
 *
 * @param accountKeySha256 SHA-256 of the client's key in lower-case hexadecimal
 * @param idempotencyKey idempotency key, if given
 * @param deadlineMillis time limit for the whole request in milliseconds, if given
 * @param resumePoint last event that a resuming client received
 * @param fingerprint hash of method, request target and body; retries of a request have the same value
 * @param content the requested operation
 */
record ParsedRequest(
        String accountKeySha256,
        Optional<IdempotencyKey> idempotencyKey,
        OptionalLong deadlineMillis,
        Optional<ResumePoint> resumePoint,
        long fingerprint,
        Content content) {
    /** Operation that a client requests. */
    sealed interface Content {
        /** Returns the requested service. */
        ServiceName service();

        /**
         * Completion that an engine generates.
         *
         * @param request the parsed body
         * @param prefixHashes hashes of the prompt's prefixes, computed outside the control thread because a prompt may
         *     be as long as a request body
         */
        record Completion(CompletionRequest request, List<Long> prefixHashes) implements Content {
            @Override
            public ServiceName service() {
                return request.service();
            }
        }

        /** Call of a plain service, that is, of a service that does not generate text. */
        record PlainServiceCall(ServiceName service, Work.ServiceCall call) implements Content {}
    }
}
