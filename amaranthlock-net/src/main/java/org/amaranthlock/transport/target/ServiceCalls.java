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
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.MalformedDataException;

/** Calls plain services and asks them what became of earlier calls. */
final class ServiceCalls {
    private static final Duration RECONCILE_TIMEOUT = Duration.ofSeconds(2);
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final String FENCE = "amaranthlock-fence";
    private static final String KEY = "idempotency-key";

    /** Headers about one connection, which a proxy does not pass on. */
    private static final Set<String> HOP_HEADERS = Set.of(
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

    private final TargetFailures failures;

    ServiceCalls(TargetFailures failures) {
        this.failures = failures;
    }

    void call(Attempt attempt, TargetConnection connection, CallService command, Work.ServiceCall work) {
        HttpRequest request = connection.request(work.method(), work.path(), work.body());
        work.headers().forEach((name, value) -> {
            if (!HOP_HEADERS.contains(name)) {
                request.setHeader(name, value);
            }
        });
        command.spec().key().ifPresent(key -> request.setHeader(KEY, key.value()));
        command.fence().ifPresent(fence -> request.setHeader(FENCE, Long.toString(fence)));
        send(attempt, connection, request, Duration.ofMillis(command.timeoutMillis()), command.spec(), false);
    }

    void reconcile(Attempt attempt, TargetConnection connection, Reconcile command) {
        String key = command.spec()
                .key()
                .map(IdempotencyKey::value)
                .orElse(command.spec().id().value());
        HttpRequest request = connection.request(
                "GET", "/orders/" + UrlEscapers.urlPathSegmentEscaper().escape(key));
        command.fence().ifPresent(fence -> request.setHeader(FENCE, Long.toString(fence)));
        send(attempt, connection, request, RECONCILE_TIMEOUT, command.spec(), true);
    }

    private void send(
            Attempt attempt,
            TargetConnection connection,
            HttpRequest request,
            Duration timeout,
            RequestSpec spec,
            boolean reconcile) {
        CompletableFuture<HttpResponse> exchange =
                connection.exchange(request, timeout).toCompletableFuture();
        attempt.exchange(() -> exchange.cancel(true));
        exchange.whenComplete((response, failure) -> {
            if (failure != null) {
                failures.broken(attempt, failure);
            } else if (reconcile) {
                reconciled(attempt, response);
            } else {
                answered(attempt, response, spec.profile().kind());
            }
        });
    }

    private void answered(Attempt attempt, HttpResponse response, ProfileKind profile) {
        int status = response.status().code();
        byte[] body = TargetJson.body(response);
        if (saysNotRun(status, TargetJson.problemCode(body), profile)) {
            failures.refused(attempt, status, response.headers(), body, false);
            return;
        }
        Map<String, String> headers = new HashMap<>();
        response.headers().forEach(header -> {
            String name = header.getKey().toString().toLowerCase(Locale.ROOT);
            if (!HOP_HEADERS.contains(name)) {
                headers.merge(name, header.getValue().toString(), (first, next) -> first + ", " + next);
            }
        });
        attempt.end(new ServiceResponded(attempt.id(), new ServiceResponse(status, headers, body)));
    }

    /**
     * Tells whether an answer means that the call was not executed.
     *
     * <p>A bare 503 may also come after the execution, so for at-most-once calls it counts as an answer.
     */
    private static boolean saysNotRun(int status, String code, ProfileKind profile) {
        return switch (status) {
            case TOO_MANY_REQUESTS -> true;
            case CONFLICT -> code.equals("fenced");
            case UNAVAILABLE ->
                profile != ProfileKind.AT_MOST_ONCE
                        || code.equals("draining")
                        || code.equals("busy")
                        || code.equals("overloaded");
            default -> false;
        };
    }

    private void reconciled(Attempt attempt, HttpResponse response) {
        int status = response.status().code();
        byte[] body = TargetJson.body(response);
        if (status != 200) {
            failures.refused(attempt, status, response.headers(), body, false);
            return;
        }
        try {
            attempt.end(new Reconciled(attempt.id(), storedAnswer(TargetJson.read(body))));
        } catch (MalformedDataException | IllegalArgumentException e) {
            failures.lost(attempt, "the answer can't be read: " + e.getMessage());
        }
    }

    private static Optional<ServiceResponse> storedAnswer(JsonNode node) {
        if (!node.path("executed").isBoolean()) {
            throw new MalformedDataException("field executed must be true or false");
        }
        if (!node.path("executed").booleanValue()) {
            return Optional.empty();
        }
        JsonNode body = node.path("body");
        String text = body.isTextual() ? body.textValue() : body.isMissingNode() ? "" : body.toString();
        return Optional.of(new ServiceResponse(
                (int) TargetJson.whole(node, "status"), Map.of(), text.getBytes(StandardCharsets.UTF_8)));
    }
}
