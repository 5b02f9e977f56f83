package org.amaranthlock.entry.front;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.RequestLimits;
import org.amaranthlock.platform.MessageFraming;
import org.amaranthlock.platform.WireHeaders;

/** Validates requests before any part of them is forwarded. */
final class RequestValidator {
    private RequestValidator() {}

    /** Returns the rejection for a request that could not be decoded. */
    static Rejection rejectionOfUndecodable(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return Rejection.of(431, "headers-too-large");
        }
        return Rejection.of(400, "malformed-request");
    }

    /** Returns the rejection for an invalid request head, or empty if the head is valid. */
    static Optional<Rejection> validate(HttpRequest request, RequestLimits limits) {
        if (!MessageFraming.isUnderstood(request)) {
            return Optional.of(Rejection.of(400, "transfer-encoding"));
        }
        if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            return Optional.of(Rejection.of(400, "host-header"));
        }
        if (request.headers().get(WireHeaders.REQUEST_ID, "").isBlank()) {
            return Optional.of(Rejection.of(400, "no-request-id"));
        }
        if (!request.uri().startsWith("/")) {
            return Optional.of(Rejection.of(400, "request-target"));
        }
        if (HttpUtil.getContentLength(request, -1L) > limits.maxBodyBytes()) {
            return Optional.of(Rejection.of(413, "body-too-large"));
        }
        return Optional.empty();
    }
}
