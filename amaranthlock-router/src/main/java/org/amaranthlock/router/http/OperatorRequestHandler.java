package org.amaranthlock.router.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorCommand.DrainStarted;
import org.amaranthlock.coordination.OperatorCommand.Failed;
import org.amaranthlock.coordination.OperatorCommand.OutcomeShown;
import org.amaranthlock.coordination.OperatorCommand.TargetsShown;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.coordination.ledger.LedgerPartitions;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.router.control.Timeline;
import org.amaranthlock.router.metrics.RouterMetrics;

/** Serves health checks and the admin API; the admin API and the metrics require an operator key. */
final class OperatorRequestHandler {
    private static final String ADMIN_PREFIX = "/admin/";
    private static final String CONFIG_PATH = "/admin/config";
    private static final String ACCOUNTS_PREFIX = "/admin/accounts/";

    private final OperatorAuthentication authentication;
    private final PendingOperatorCalls calls;
    private final ConfigurationCalls configuration;
    private final Timeline timeline;
    private final RouterMetrics metrics;
    private final Supplier<RouterStatus> status;

    OperatorRequestHandler(
            OperatorAuthentication authentication,
            PendingOperatorCalls calls,
            Timeline timeline,
            RouterMetrics metrics,
            Supplier<RouterStatus> status) {
        this.authentication = authentication;
        this.calls = calls;
        this.configuration = new ConfigurationCalls(calls);
        this.timeline = timeline;
        this.metrics = metrics;
        this.status = status;
    }

    static boolean accepts(String path) {
        return switch (path) {
            case "/metrics", "/healthz", "/readyz" -> true;
            default -> path.startsWith(ADMIN_PREFIX);
        };
    }

    CompletableFuture<OutboundResponse> handle(InboundRequest request) {
        try {
            return switch (request.path()) {
                case "/healthz" -> completed(OutboundResponse.text(200, "ok"));
                case "/readyz" -> completed(readiness());
                default -> handleAuthenticated(request);
            };
        } catch (AmaranthlockException e) {
            return completed(ProblemResponses.notRunResponse(e));
        }
    }

    private OutboundResponse readiness() {
        RouterStatus current = status.get();
        if (current.draining()) {
            return OutboundResponse.text(503, "leaving");
        }
        return current.ready()
                ? OutboundResponse.text(200, "ready")
                : OutboundResponse.text(503, "configuration not loaded yet");
    }

    private CompletableFuture<OutboundResponse> handleAuthenticated(InboundRequest request) {
        Optional<String> operator = authentication.authenticate(request);
        if (operator.isEmpty()) {
            return completed(ProblemResponses.notRunResponse(
                    ErrorCode.UNAUTHENTICATED,
                    "The operator key is missing or unknown; send the header 'Authorization: Bearer <operator key>' with a "
                            + "key from the settings."));
        }
        String path = request.path();
        if (path.equals(CONFIG_PATH) || path.startsWith(CONFIG_PATH + "/")) {
            return configuration.handle(request, path.substring(CONFIG_PATH.length()), operator.get());
        }
        if (path.startsWith(ACCOUNTS_PREFIX)) {
            requireMethod(request, "GET");
            return outcome(path.substring(ACCOUNTS_PREFIX.length()));
        }
        return switch (path) {
            case "/metrics" -> completed(OutboundResponse.of(200, RouterMetrics.CONTENT_TYPE, metrics.render()));
            case "/admin/targets" -> targets(request);
            case "/admin/timeline" -> timeline(request);
            case "/admin/drain" -> drain(request);
            default ->
                completed(ProblemResponses.notRunResponse(
                        ErrorCode.INVALID_REQUEST, "There is no admin endpoint " + path + "; check the path."));
        };
    }

    private CompletableFuture<OutboundResponse> targets(InboundRequest request) {
        requireMethod(request, "GET");
        return calls.submit(OperatorEvent.ListTargets::new).thenApply(result -> switch (result) {
            case TargetsShown shown ->
                OutboundResponse.json(
                        200, shown.targets().stream().map(OperatorJson::target).toList());
            default -> OperatorResponses.failureResponse(result);
        });
    }

    private CompletableFuture<OutboundResponse> timeline(InboundRequest request) {
        requireMethod(request, "GET");
        return completed(OutboundResponse.json(
                200, timeline.events().stream().map(OperatorJson::event).toList()));
    }

    private CompletableFuture<OutboundResponse> drain(InboundRequest request) {
        requireMethod(request, "POST");
        return calls.submit(OperatorEvent.Drain::new).thenApply(result -> switch (result) {
            case DrainStarted started ->
                OutboundResponse.json(202, Json.createObject().put("openRequests", started.openRequests()));
            default -> OperatorResponses.failureResponse(result);
        });
    }

    private CompletableFuture<OutboundResponse> outcome(String requestId) {
        RequestId request;
        try {
            request = new RequestId(requestId);
            // Throws an exception if the id does not begin with a partition.
            LedgerPartitions.ofRequest(request);
        } catch (IllegalArgumentException e) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST,
                    "'" + requestId + "' is not a request id; take it from the header Amaranthlock-Request-Id.",
                    e);
        }
        return calls.submit(call -> new OperatorEvent.ShowOutcome(call, request))
                .thenApply(result -> switch (result) {
                    case OutcomeShown shown -> outcomeResponse(request, shown.record());
                    default -> OperatorResponses.failureResponse(result);
                });
    }

    private static OutboundResponse outcomeResponse(RequestId request, Optional<OutcomeRecord> outcome) {
        return outcome.map(record -> OutboundResponse.json(200, OperatorJson.outcome(record)))
                .orElseGet(() -> ProblemResponses.notRunResponse(
                        ErrorCode.UNKNOWN_REQUEST,
                        "There is no outcome record of " + request
                                + "; if the request has just ended, try again in a few seconds."));
    }

    private static void requireMethod(InboundRequest request, String method) {
        if (!request.method().equals(method)) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST, "The path " + request.path() + " accepts " + method + " only.");
        }
    }

    private static CompletableFuture<OutboundResponse> completed(OutboundResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    /** Responses and constants that the handlers of operator calls share. */
    static final class OperatorResponses {
        private OperatorResponses() {}

        static OutboundResponse failureResponse(OperatorCommand result) {
            return switch (result) {
                case Failed failed -> ProblemResponses.notRunResponse(failed.code(), failed.detail());
                default ->
                    ProblemResponses.notRunResponse(
                            ErrorCode.INTERNAL,
                            "The decision core returned an unexpected result ("
                                    + result.getClass().getSimpleName() + "); report this as a bug.");
            };
        }

        static List<String> configurationKinds() {
            return List.of("profile", "service", "account", "target", "model", "routing");
        }
    }
}
