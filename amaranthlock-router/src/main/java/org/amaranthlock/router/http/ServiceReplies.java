package org.amaranthlock.router.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.ServiceResponse;

/** Translation of plain services' answers and headers. */
final class ServiceReplies {
    /** Headers that concern one connection only, or that the front sets itself. */
    private static final Set<String> NOT_END_TO_END = Set.of(
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

    private static final Set<String> FOR_ROUTER =
            Set.of("host", "authorization", "expect", "idempotency-key", "amaranthlock-deadline-ms", "last-event-id");

    private ServiceReplies() {}

    static Reply reply(ServiceResponse response, RequestId id, ExecutionStatus fate) {
        Map<String, String> headers = new LinkedHashMap<>();
        response.headers().forEach((name, value) -> {
            if (!NOT_END_TO_END.contains(name)) {
                headers.put(name, value);
            }
        });
        headers.put(Problems.REQUEST_ID_HEADER, id.value());
        headers.put(Problems.FATE_HEADER, Problems.text(fate));
        return new Reply(response.status(), headers, new Reply.Body.Whole(response.body()));
    }

    /** Returns the headers of a caller that are passed on to a plain service. */
    static Map<String, String> forwardedHeaders(Map<String, String> headers) {
        Map<String, String> forwarded = new LinkedHashMap<>();
        headers.forEach((name, value) -> {
            if (!NOT_END_TO_END.contains(name) && !FOR_ROUTER.contains(name)) {
                forwarded.put(name, value);
            }
        });
        return forwarded;
    }
}
