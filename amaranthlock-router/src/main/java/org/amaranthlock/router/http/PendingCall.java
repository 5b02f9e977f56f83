package org.amaranthlock.router.http;

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

        /** Completion by a model engine. */
        record Completion(CompletionCall call) implements Content {
            @Override
            public ServiceName service() {
                return call.service();
            }
        }

        /** Call of a plain service. */
        record Call(ServiceName service, Work.ServiceCall call) implements Content {}
    }
}
