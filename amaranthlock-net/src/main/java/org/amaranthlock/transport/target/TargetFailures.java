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

/** Turns refusals and lost connections of targets into events. */
final class TargetFailures {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int UNPROCESSABLE = 422;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EventSink sink;

    TargetFailures(EventSink sink) {
        this.sink = sink;
    }

    /** Ends an attempt whose exchange broke, and tells whether the target can still be reached. */
    void broken(Attempt attempt, Throwable failure) {
        if (HttpClientSupport.certainlyNotSent(failure)) {
            if (attempt.fail(FailureKind.NOT_SENT, failure.toString(), OptionalLong.empty())
                    && HttpClientSupport.connectFailed(failure)) {
                sink.accept(new Unreachable(attempt.target().id()));
            }
        } else if (failure instanceof TimeoutException) {
            attempt.fail(FailureKind.TIMED_OUT, failure.toString(), OptionalLong.empty());
        } else {
            lost(attempt, failure.toString());
        }
    }

    /** Ends an attempt whose connection was lost after the request was sent, then probes the target. */
    void lost(Attempt attempt, String detail) {
        if (attempt.fail(FailureKind.LOST, detail, OptionalLong.empty())) {
            Thread.ofVirtual().name("probe-" + attempt.target().id()).start(() -> probe(attempt.target()));
        }
    }

    /** Ends an attempt that the target refused; {@code attach} tells whether it was to attach to a stream. */
    void refused(Attempt attempt, int status, HttpHeaders headers, byte[] body, boolean attach) {
        String code = TargetJson.problemCode(body);
        FailureKind kind = kind(status, code, attach);
        if (kind == FailureKind.LOST) {
            lost(attempt, "the target answered with status " + status);
            return;
        }
        if (kind == FailureKind.DRAINING) {
            leaving(attempt);
        }
        attempt.fail(kind, "the target answered with status " + status + " " + code, retryAfterMillis(headers));
    }

    /** Announces first that the target leaves, so that the reaction to the failure does not choose it again. */
    private void leaving(Attempt attempt) {
        if (!attempt.ended()) {
            sink.accept(new Draining(attempt.target().id()));
        }
    }

    private static FailureKind kind(int status, String code, boolean attach) {
        return switch (status) {
            case UNAVAILABLE -> code.equals("draining") ? FailureKind.DRAINING : FailureKind.BUSY;
            case TOO_MANY_REQUESTS -> FailureKind.BUSY;
            case CONFLICT -> code.equals("fenced") ? FailureKind.FENCED : FailureKind.INVALID;
            case NOT_FOUND -> attach ? FailureKind.STREAM_GONE : FailureKind.INVALID;
            case BAD_REQUEST, TOO_LARGE, UNPROCESSABLE -> FailureKind.INVALID;
            default -> FailureKind.LOST;
        };
    }

    /** Reads {@code Retry-After} in seconds; a date is ignored, because the clocks of targets may be wrong. */
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

    private void probe(Target target) {
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
