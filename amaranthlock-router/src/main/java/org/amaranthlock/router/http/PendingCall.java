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
 * @param key idempotency key, if given
 * @param deadlineMillis time for the whole request in milliseconds, if given
 * @param resume last event that a returning caller holds
 * @param fingerprint hash of method, path and body
 * @param content what is asked for
 */
record PendingCall(
        String accountKeySha256,
        Optional<IdempotencyKey> key,
        OptionalLong deadlineMillis,
        Optional<ResumePoint> resume,
        long fingerprint,
        Content content) {
    /** What a caller asks for. */
    sealed interface Content {
        /** Addressed service. */
        ServiceName service();

        /**
         * Completion by a model engine.
         *
         * @param call the parsed body
         * @param prefixHashes hashes of the prompt's growing prefixes, computed before the control thread takes over,
         *     because prompts may be as long as a body
         */
        record Completion(CompletionCall call, List<Long> prefixHashes) implements Content {
            @Override
            public ServiceName service() {
                return call.service();
            }
        }

        /** Call of a plain service. */
        record Call(ServiceName service, Work.ServiceCall call) implements Content {}
    }
}
