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

/** Turns parsed calls into arrivals with the configuration in force; used on the control thread only. */
final class RequestResolver {
    private final ConfigurationView configuration;
    private final Supplier<String> uniqueIds;

    /**
     * Creates a resolver.
     *
     * @param configuration the configuration in force
     * @param uniqueTexts source of texts that are unique over all hosts
     */
    RequestResolver(ConfigurationView configuration, Supplier<String> uniqueTexts) {
        this.configuration = configuration;
        this.uniqueIds = uniqueTexts;
    }

    /**
     * Returns the arrival of a call.
     *
     * @throws AmaranthlockException if account or service are unknown or don't fit; nothing was executed then
     */
    Arrived resolve(ParsedRequest call, long nowMillis) {
        if (!configuration.ready()) {
            throw new AmaranthlockException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "This router has no configuration yet; try another router.");
        }
        AccountSettings account = configuration
                .accountByKey(call.accountKeySha256())
                .orElseThrow(() -> new AmaranthlockException(
                        ErrorCode.UNAUTHENTICATED, "The account key is not known; check the Authorization header."));
        ServiceSettings service = service(call);
        long time = call.deadlineMillis().orElse(service.profile().deadlineMillis());
        RequestSpec spec = new RequestSpec(
                requestId(call, account),
                account.id(),
                service.name(),
                service.profile(),
                call.idempotencyKey(),
                call.fingerprint(),
                nowMillis,
                nowMillis + time,
                work(call));
        return new Arrived(
                spec,
                call.resumePoint()
                        .map(point -> OptionalInt.of(point.nextPosition()))
                        .orElse(OptionalInt.empty()));
    }

    private ServiceSettings service(ParsedRequest call) {
        ServiceName name = call.content().service();
        ServiceSettings service = configuration
                .service(name)
                .orElseThrow(() -> new AmaranthlockException(
                        ErrorCode.UNKNOWN_SERVICE,
                        "There is no service '" + name + "'; check the name or ask an operator to add it."));
        boolean generation = call.content() instanceof Content.Completion;
        if (service.generation() != generation) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST,
                    service.generation()
                            ? "The service '" + name + "' generates text; use /v1/chat/completions or /v1/completions."
                            : "The service '" + name + "' is a plain service; use /services/" + name + "/<path>.");
        }
        return service;
    }

    private RequestId requestId(ParsedRequest call, AccountSettings account) {
        if (call.resumePoint().isPresent()) {
            return call.resumePoint().get().request();
        }
        String unique = uniqueIds.get();
        String ledgerKey = account.id() + "/"
                + call.idempotencyKey().map(IdempotencyKey::value).orElse(unique);
        return LedgerPartitions.requestId(LedgerPartitions.ofKey(ledgerKey), unique);
    }

    private Work work(ParsedRequest call) {
        return switch (call.content()) {
            case Content.ServiceRequest(var service, var work) -> work;
            case Content.Completion(var completion, var prefixHashes) ->
                new Work.Generation(
                        model(completion.service()),
                        completion.adapter(),
                        completion.prompt(),
                        prefixHashes,
                        completion.maxTokens(),
                        // A seed derived from the content is the same when the caller sends the request again.
                        completion.seed().orElse(call.fingerprint()));
        };
    }

    /** Returns the model of the service's first target; the service's name if it has no target now. */
    private String model(ServiceName service) {
        for (Target target : configuration.targets()) {
            if (target.service().equals(service) && !target.model().isBlank()) {
                return target.model();
            }
        }
        return service.value();
    }
}
