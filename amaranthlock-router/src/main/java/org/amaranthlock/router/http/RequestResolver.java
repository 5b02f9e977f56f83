package org.amaranthlock.router.http;

import java.util.OptionalInt;
import java.util.function.Supplier;
import org.amaranthlock.coordination.RequestEvent.Arrived;
import org.amaranthlock.coordination.configuration.AccountSettings;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.configuration.ServiceSettings;
import org.amaranthlock.coordination.ledger.LedgerPartitions;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.Work;
import org.amaranthlock.router.http.ParsedRequest.Content;

/** Resolves parsed requests to {@link Arrived} events by the current configuration; control thread only. */
final class RequestResolver {
    private final ConfigurationView configuration;
    private final Supplier<String> uniqueIds;

    /**
     * Creates a resolver.
     *
     * @param configuration the configuration in force
     * @param uniqueIds supplies ids that are unique across all hosts
     */
    RequestResolver(ConfigurationView configuration, Supplier<String> uniqueIds) {
        this.configuration = configuration;
        this.uniqueIds = uniqueIds;
    }

    /**
     * Returns the arrival event of a request.
     *
     * @throws AmaranthlockException if the account or the service is unknown, or the request does not fit the
     *     kind of the service; nothing has been executed then
     */
    Arrived resolve(ParsedRequest request, long nowMillis) {
        if (!configuration.isReady()) {
            throw new AmaranthlockException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "This router has no configuration yet; try another router.");
        }
        AccountSettings account = configuration
                .accountByKey(request.accountKeySha256())
                .orElseThrow(() -> new AmaranthlockException(
                        ErrorCode.UNAUTHENTICATED, "The account key is unknown; check the Authorization header."));
        ServiceSettings service = service(request);
        long timeoutMillis = request.deadlineMillis().orElse(service.profile().deadlineMillis());
        RequestSpec spec = new RequestSpec(
                requestId(request, account),
                account.id(),
                service.name(),
                service.profile(),
                request.idempotencyKey(),
                request.fingerprint(),
                nowMillis,
                nowMillis + timeoutMillis,
                work(request));
        return new Arrived(
                spec,
                request.resumePoint()
                        .map(point -> OptionalInt.of(point.nextPosition()))
                        .orElse(OptionalInt.empty()));
    }

    private ServiceSettings service(ParsedRequest request) {
        ServiceName name = request.content().service();
        ServiceSettings service = configuration
                .service(name)
                .orElseThrow(() -> new AmaranthlockException(
                        ErrorCode.UNKNOWN_SERVICE,
                        "There is no service '" + name + "'; check the name or ask an operator to add it."));
        boolean generation = request.content() instanceof Content.Completion;
        if (service.generation() != generation) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST,
                    service.generation()
                            ? "The service '" + name + "' generates text; use /v1/chat/completions or /v1/completions."
                            : "The service '" + name + "' is a plain service; use /services/" + name + "/<path>.");
        }
        return service;
    }

    private RequestId requestId(ParsedRequest request, AccountSettings account) {
        if (request.resumePoint().isPresent()) {
            return request.resumePoint().get().request();
        }
        // The id contains the partition of the ledger key, so that the outcome record is found by the request id.
        String uniqueId = uniqueIds.get();
        String ledgerKey = account.id() + "/"
                + request.idempotencyKey().map(IdempotencyKey::value).orElse(uniqueId);
        return LedgerPartitions.requestId(LedgerPartitions.ofKey(ledgerKey), uniqueId);
    }

    private Work work(ParsedRequest request) {
        return switch (request.content()) {
            case Content.PlainServiceCall(var service, var work) -> work;
            case Content.Completion(var completion, var prefixHashes) ->
                new Work.Generation(
                        model(completion.service()),
                        completion.adapter(),
                        completion.prompt(),
                        prefixHashes,
                        completion.maxTokens(),
                        // A seed derived from the content stays the same when the client retries the request.
                        completion.seed().orElse(request.fingerprint()));
        };
    }

    /** Returns the model of the service's first target, or the service name if it has no target at present. */
    private String model(ServiceName service) {
        for (Target target : configuration.targets()) {
            if (target.service().equals(service) && !target.model().isBlank()) {
                return target.model();
            }
        }
        return service.value();
    }
}
