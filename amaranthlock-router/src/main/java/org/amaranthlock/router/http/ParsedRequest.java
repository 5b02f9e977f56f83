package org.amaranthlock.router.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Work;

/**
 * Parsed request of a caller, before its account and service are known.
 *
 * @param accountKeySha256 SHA-256 of the caller's key in lower-case hexadecimal
 * @param idempotencyKey idempotency key, if given
 * @param deadlineMillis time for the whole request in milliseconds, if given
 * @param resumePoint last event that a returning caller holds
 * @param fingerprint hash of method, path and body
 * @param content what is asked for
 */
record ParsedRequest(
        String accountKeySha256,
        Optional<IdempotencyKey> idempotencyKey,
        OptionalLong deadlineMillis,
        Optional<ResumePoint> resumePoint,
        long fingerprint,
        Content content) {
    /** What a caller asks for. */
    sealed interface Content {
        /** Addressed service. */
        ServiceName service();

        /**
         * Completion by a model engine.
         *
         * @param request the parsed body
         * @param prefixHashes hashes of the prompt's growing prefixes, computed before the control thread takes over,
         *     because prompts may be as long as a body
         */
        record Completion(CompletionRequest request, List<Long> prefixHashes) implements Content {
            @Override
            public ServiceName service() {
                return request.service();
            }
        }

        /** Call of a plain service. */
        record ServiceRequest(ServiceName service, Work.ServiceCall call) implements Content {}
    }
}
