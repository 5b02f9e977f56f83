package org.amaranthlock.router.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.ServiceResponse;

/** Maps the headers and responses of calls that are proxied to plain services. */
final class ServiceResponseMapper {
    /** Headers that apply to a single connection, and content-length, which the HTTP server sets itself. */
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length");

    /** Request headers for the router, which are not forwarded: a service must not receive the account key. */
    private static final Set<String> ROUTER_HEADERS =
            Set.of("host", "authorization", "expect", "idempotency-key", "amaranthlock-deadline-ms", "last-event-id");

    private ServiceResponseMapper() {}

    static OutboundResponse toResponse(ServiceResponse response, RequestId id, ExecutionStatus executionStatus) {
        Map<String, String> headers = new LinkedHashMap<>();
        response.headers().forEach((name, value) -> {
            if (!HOP_BY_HOP_HEADERS.contains(name)) {
                headers.put(name, value);
            }
        });
        headers.put(ProblemResponses.REQUEST_ID_HEADER, id.value());
        headers.put(ProblemResponses.EXECUTION_STATUS_HEADER, ProblemResponses.executionStatusText(executionStatus));
        return new OutboundResponse(response.status(), headers, new OutboundResponse.Body.Buffered(response.body()));
    }

    /** Returns the request headers that are forwarded to a plain service. */
    static Map<String, String> forwardedHeaders(Map<String, String> headers) {
        Map<String, String> forwarded = new LinkedHashMap<>();
        headers.forEach((name, value) -> {
            if (!HOP_BY_HOP_HEADERS.contains(name) && !ROUTER_HEADERS.contains(name)) {
                forwarded.put(name, value);
            }
        });
        return forwarded;
    }
}
