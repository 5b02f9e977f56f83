package org.amaranthlock.transport.target;

import io.servicetalk.http.api.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.TargetEvent.Draining;
import org.amaranthlock.coordination.TargetEvent.Reachable;
import org.amaranthlock.coordination.TargetEvent.Unreachable;
import org.amaranthlock.model.Target;
import org.amaranthlock.transport.EventSink;
import org.amaranthlock.transport.http.HttpClientSupport;

/** Publishes error responses and connection failures of targets as events. */
final class TargetFailureHandler {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int UNPROCESSABLE_CONTENT = 422;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EventSink sink;

    TargetFailureHandler(EventSink sink) {
        this.sink = sink;
    }

    /** Fails an attempt whose exchange failed, and reports whether its target is reachable if that is in doubt. */
    void handleExchangeFailure(HttpAttempt attempt, Throwable failure) {
        if (HttpClientSupport.isKnownNotSent(failure)) {
            if (attempt.fail(FailureKind.NOT_SENT, failure.toString(), OptionalLong.empty())
                    && HttpClientSupport.isConnectFailure(failure)) {
                sink.accept(new Unreachable(attempt.target().id()));
            }
        } else if (failure instanceof TimeoutException) {
            attempt.fail(FailureKind.TIMED_OUT, failure.toString(), OptionalLong.empty());
        } else {
            handleLostAttempt(attempt, failure.toString());
        }
    }

    /**
     * Fails an attempt that the target may have executed, because the connection was lost after the request may have
     * been sent or the response is unusable, and probes the target.
     */
    void handleLostAttempt(HttpAttempt attempt, String detail) {
        if (attempt.fail(FailureKind.LOST, detail, OptionalLong.empty())) {
            Thread.ofVirtual().name("probe-" + attempt.target().id()).start(() -> probeTarget(attempt.target()));
        }
    }

    /** Fails an attempt with an error response; {@code attach} tells whether it was an attach to an existing stream. */
    void handleErrorResponse(HttpAttempt attempt, int status, HttpHeaders headers, byte[] body, boolean attach) {
        String code = TargetJson.problemCode(body);
        FailureKind kind = failureKind(status, code, attach);
        if (kind == FailureKind.LOST) {
            handleLostAttempt(attempt, "the target responded with status " + status);
            return;
        }
        if (kind == FailureKind.DRAINING) {
            reportDraining(attempt);
        }
        attempt.fail(kind, "the target responded with status " + status + " " + code, retryAfterMillis(headers));
    }

    /**
     * Reports before the failure that the target is draining, so that the target is not selected for the next attempt.
     */
    private void reportDraining(HttpAttempt attempt) {
        if (!attempt.isEnded()) {
            sink.accept(new Draining(attempt.target().id()));
        }
    }

    private static FailureKind failureKind(int status, String code, boolean attach) {
        return switch (status) {
            case SERVICE_UNAVAILABLE -> code.equals("draining") ? FailureKind.DRAINING : FailureKind.BUSY;
            case TOO_MANY_REQUESTS -> FailureKind.BUSY;
            case CONFLICT -> code.equals("fenced") ? FailureKind.FENCED : FailureKind.INVALID;
            case NOT_FOUND -> attach ? FailureKind.STREAM_GONE : FailureKind.INVALID;
            case BAD_REQUEST, CONTENT_TOO_LARGE, UNPROCESSABLE_CONTENT -> FailureKind.INVALID;
            default -> FailureKind.LOST;
        };
    }

    /** Parses {@code Retry-After} in seconds; a date is ignored, because the clocks of targets may be wrong. */
    private static OptionalLong retryAfterMillis(HttpHeaders headers) {
        CharSequence value = headers.get("retry-after");
        if (value == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Math.max(0, Integer.parseInt(value.toString().trim())) * MILLIS_PER_SECOND);
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private void probeTarget(Target target) {
        int colon = target.address().lastIndexOf(':');
        try (Socket socket = new Socket()) {
            int port = Integer.parseInt(target.address().substring(colon + 1));
            socket.connect(
                    new InetSocketAddress(target.address().substring(0, colon), port),
                    HttpClientSupport.CONNECT_TIMEOUT_MILLIS);
            sink.accept(new Reachable(target.id()));
        } catch (IOException e) {
            sink.accept(new Unreachable(target.id()));
        }
    }
}
