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

/** Health checks, and the calls of operators, who need a key. */
final class OperatorFront {
    private static final String ADMIN = "/admin/";
    private static final String CONFIG = "/admin/config";
    private static final String ACCOUNTS = "/admin/accounts/";

    private final OperatorAuthentication authentication;
    private final OperatorCalls calls;
    private final ConfigurationCalls configuration;
    private final Timeline timeline;
    private final RouterMetrics metrics;
    private final Supplier<RouterStatus> status;

    OperatorFront(
            OperatorAuthentication authentication,
            OperatorCalls calls,
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
            default -> path.startsWith(ADMIN);
        };
    }

    CompletableFuture<Reply> handle(InboundRequest request) {
        try {
            return switch (request.path()) {
                case "/healthz" -> done(Reply.text(200, "ok"));
                case "/readyz" -> done(readiness());
                default -> handleAuthenticated(request);
            };
        } catch (AmaranthlockException e) {
            return done(Problems.notRun(e));
        }
    }

    private Reply readiness() {
        RouterStatus now = status.get();
        if (now.leaving()) {
            return Reply.text(503, "leaving");
        }
        return now.ready() ? Reply.text(200, "ready") : Reply.text(503, "configuration not loaded yet");
    }

    private CompletableFuture<Reply> handleAuthenticated(InboundRequest request) {
        Optional<String> operator = authentication.operator(request);
        if (operator.isEmpty()) {
            return done(Problems.notRun(
                    ErrorCode.UNAUTHENTICATED,
                    "Send the header 'Authorization: Bearer <operator key>' with a key from the settings."));
        }
        String path = request.path();
        if (path.equals(CONFIG) || path.startsWith(CONFIG + "/")) {
            return configuration.handle(request, path.substring(CONFIG.length()), operator.get());
        }
        if (path.startsWith(ACCOUNTS)) {
            requireMethod(request, "GET");
            return outcome(path.substring(ACCOUNTS.length()));
        }
        return switch (path) {
            case "/metrics" -> done(Reply.of(200, RouterMetrics.CONTENT_TYPE, metrics.render()));
            case "/admin/targets" -> targets(request);
            case "/admin/timeline" -> timeline(request);
            case "/admin/drain" -> drain(request);
            default -> done(Problems.notRun(ErrorCode.INVALID_REQUEST, "There is no operator call " + path + "."));
        };
    }

    private CompletableFuture<Reply> targets(InboundRequest request) {
        requireMethod(request, "GET");
        return calls.ask(OperatorEvent.ListTargets::new).thenApply(answer -> switch (answer) {
            case TargetsShown shown ->
                Reply.json(
                        200, shown.targets().stream().map(OperatorJson::target).toList());
            default -> OperatorReplies.failed(answer);
        });
    }

    private CompletableFuture<Reply> timeline(InboundRequest request) {
        requireMethod(request, "GET");
        return done(Reply.json(
                200, timeline.events().stream().map(OperatorJson::event).toList()));
    }

    private CompletableFuture<Reply> drain(InboundRequest request) {
        requireMethod(request, "POST");
        return calls.ask(OperatorEvent.Drain::new).thenApply(answer -> switch (answer) {
            case DrainStarted started -> Reply.json(202, Json.object().put("openRequests", started.openRequests()));
            default -> OperatorReplies.failed(answer);
        });
    }

    private CompletableFuture<Reply> outcome(String requestId) {
        RequestId request;
        try {
            request = new RequestId(requestId);
            LedgerPartitions.ofRequest(request);
        } catch (IllegalArgumentException e) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST,
                    "'" + requestId + "' is not a request id; take it from the header Amaranthlock-Request-Id.",
                    e);
        }
        return calls.ask(call -> new OperatorEvent.ShowOutcome(call, request)).thenApply(answer -> switch (answer) {
            case OutcomeShown shown -> outcomeReply(request, shown.record());
            default -> OperatorReplies.failed(answer);
        });
    }

    private static Reply outcomeReply(RequestId request, Optional<OutcomeRecord> outcome) {
        return outcome.map(record -> Reply.json(200, OperatorJson.outcome(record)))
                .orElseGet(() -> Problems.notRun(
                        ErrorCode.UNKNOWN_REQUEST,
                        "There is no outcome record of " + request
                                + "; if the request ended a moment ago, ask again in a few seconds."));
    }

    private static void requireMethod(InboundRequest request, String method) {
        if (!request.method().equals(method)) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST, "The path " + request.path() + " accepts " + method + " only.");
        }
    }

    private static CompletableFuture<Reply> done(Reply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    /** Answers that all operator calls share. */
    static final class OperatorReplies {
        private OperatorReplies() {}

        static Reply failed(OperatorCommand answer) {
            return switch (answer) {
                case Failed failed -> Problems.notRun(failed.code(), failed.detail());
                default ->
                    Problems.notRun(
                            ErrorCode.INTERNAL,
                            "The core gave an unfitting answer ("
                                    + answer.getClass().getSimpleName() + "); report this as a fault.");
            };
        }

        static List<String> kinds() {
            return List.of("profile", "service", "account", "target", "model", "routing");
        }
    }
}
