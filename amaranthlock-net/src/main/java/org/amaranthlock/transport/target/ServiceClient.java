package org.amaranthlock.transport.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.UrlEscapers;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthlock.coordination.RequestCommand.CallService;
import org.amaranthlock.coordination.RequestCommand.Reconcile;
import org.amaranthlock.coordination.RequestEvent.Reconciled;
import org.amaranthlock.coordination.RequestEvent.ServiceResponded;
import org.amaranthlock.model.HttpStatuses;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.MalformedDataException;

/** Calls plain services and queries the outcome of earlier calls. */
final class ServiceClient {
    private static final Duration RECONCILE_TIMEOUT = Duration.ofSeconds(2);
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String FENCE_HEADER = "amaranthlock-fence";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";

    /**
     * Headers that a proxy must not forward, because they apply to a single connection or the HTTP client sets them
     * itself.
     */
    private static final Set<String> NON_FORWARDED_HEADERS = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final TargetFailureHandler failureHandler;

    ServiceClient(TargetFailureHandler failureHandler) {
        this.failureHandler = failureHandler;
    }

    void call(HttpAttempt attempt, TargetClient client, CallService command, Work.ServiceCall work) {
        HttpRequest request = client.newRequest(work.method(), work.path(), work.body());
        work.headers().forEach((name, value) -> {
            if (!NON_FORWARDED_HEADERS.contains(name)) {
                request.setHeader(name, value);
            }
        });
        command.spec().key().ifPresent(key -> request.setHeader(IDEMPOTENCY_KEY_HEADER, key.value()));
        command.fence().ifPresent(fence -> request.setHeader(FENCE_HEADER, Long.toString(fence)));
        send(attempt, client, request, Duration.ofMillis(command.timeoutMillis()), command.spec(), false);
    }

    void reconcile(HttpAttempt attempt, TargetClient client, Reconcile command) {
        String key = command.spec()
                .key()
                .map(IdempotencyKey::value)
                .orElse(command.spec().id().value());
        HttpRequest request = client.newRequest(
                "GET", "/orders/" + UrlEscapers.urlPathSegmentEscaper().escape(key));
        command.fence().ifPresent(fence -> request.setHeader(FENCE_HEADER, Long.toString(fence)));
        send(attempt, client, request, RECONCILE_TIMEOUT, command.spec(), true);
    }

    private void send(
            HttpAttempt attempt,
            TargetClient client,
            HttpRequest request,
            Duration timeout,
            RequestSpec spec,
            boolean reconcile) {
        CompletableFuture<HttpResponse> exchange =
                client.exchange(request, timeout).toCompletableFuture();
        attempt.setExchange(() -> exchange.cancel(true));
        exchange.whenComplete((response, failure) -> {
            if (failure != null) {
                failureHandler.handleExchangeFailure(attempt, failure);
            } else if (reconcile) {
                handleReconcileResponse(attempt, response);
            } else {
                handleCallResponse(attempt, response, spec.profile().kind());
            }
        });
    }

    private void handleCallResponse(HttpAttempt attempt, HttpResponse response, ProfileKind profile) {
        int status = response.status().code();
        byte[] body = TargetJson.body(response);
        if (meansNotExecuted(status, TargetJson.problemCode(body), profile)) {
            failureHandler.handleErrorResponse(attempt, status, response.headers(), body, false);
            return;
        }
        Map<String, String> headers = new HashMap<>();
        response.headers().forEach(header -> {
            String name = header.getKey().toString().toLowerCase(Locale.ROOT);
            if (!NON_FORWARDED_HEADERS.contains(name)) {
                headers.merge(name, header.getValue().toString(), (first, next) -> first + ", " + next);
            }
        });
        attempt.complete(new ServiceResponded(attempt.id(), new ServiceResponse(status, headers, body)));
    }

    /**
     * Returns whether a response means that the call was not executed.
     *
     * <p>A service may also send a 503 without a problem code after it has executed the call, so for at-most-once calls
     * such a response is returned to the client.
     */
    private static boolean meansNotExecuted(int status, String code, ProfileKind profile) {
        return switch (status) {
            case TOO_MANY_REQUESTS -> true;
            case CONFLICT -> code.equals("fenced");
            case SERVICE_UNAVAILABLE ->
                profile != ProfileKind.AT_MOST_ONCE
                        || code.equals("draining")
                        || code.equals("busy")
                        || code.equals("overloaded");
            default -> false;
        };
    }

    private void handleReconcileResponse(HttpAttempt attempt, HttpResponse response) {
        int status = response.status().code();
        byte[] body = TargetJson.body(response);
        if (status != 200) {
            failureHandler.handleErrorResponse(attempt, status, response.headers(), body, false);
            return;
        }
        try {
            attempt.complete(new Reconciled(attempt.id(), parseStoredResponse(TargetJson.parse(body))));
        } catch (MalformedDataException | IllegalArgumentException e) {
            failureHandler.handleLostAttempt(attempt, "malformed reconciliation response: " + e.getMessage());
        }
    }

    private static Optional<ServiceResponse> parseStoredResponse(JsonNode node) {
        if (!node.path("executed").isBoolean()) {
            throw new MalformedDataException("field executed must be true or false");
        }
        if (!node.path("executed").booleanValue()) {
            return Optional.empty();
        }
        JsonNode body = node.path("body");
        String text = body.isTextual() ? body.textValue() : body.isMissingNode() ? "" : body.toString();
        return Optional.of(new ServiceResponse(storedStatus(node), Map.of(), text.getBytes(StandardCharsets.UTF_8)));
    }

    private static int storedStatus(JsonNode node) {
        long status = TargetJson.longField(node, "status");
        if (!HttpStatuses.isFinal(status)) {
            throw new MalformedDataException("field status must be a final status of HTTP");
        }
        return (int) status;
    }
}
