package org.amaranthlock.router.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;

/** Creates error responses in the format {@code application/problem+json}. */
final class ProblemResponses {
    static final String CONTENT_TYPE = "application/problem+json";
    static final String REQUEST_ID_HEADER = "amaranthlock-request-id";
    static final String EXECUTION_STATUS_HEADER = "amaranthlock-fate";

    private static final String TYPE_PREFIX = "urn:amaranthlock:error:";
    private static final long MILLIS_PER_SECOND = 1_000;

    private ProblemResponses() {}

    /** Returns the JSON object that describes a refusal. */
    static ObjectNode toJson(Refusal refusal, Optional<RequestId> request) {
        String code = refusal.code().code();
        ObjectNode node = Json.createObject();
        node.put("type", TYPE_PREFIX + code);
        node.put("title", title(code));
        node.put("status", refusal.code().status());
        node.put("detail", refusal.detail());
        node.put("code", code);
        node.put("ran", executionStatusText(refusal.executionStatus()));
        request.ifPresent(id -> node.put("requestId", id.value()));
        refusal.retryAfterMillis().ifPresent(millis -> node.put("retryAfterMs", millis));
        return node;
    }

    static OutboundResponse toResponse(Refusal refusal, Optional<RequestId> request) {
        OutboundResponse response = OutboundResponse.of(
                        refusal.code().status(), CONTENT_TYPE, Json.writeBytes(toJson(refusal, request)))
                .withHeader(EXECUTION_STATUS_HEADER, executionStatusText(refusal.executionStatus()));
        if (request.isPresent()) {
            response = response.withHeader(REQUEST_ID_HEADER, request.get().value());
        }
        if (refusal.code() == ErrorCode.UNAUTHENTICATED) {
            response = response.withHeader("www-authenticate", "Bearer");
        }
        if (refusal.retryAfterMillis().isPresent()) {
            long millis = refusal.retryAfterMillis().getAsLong();
            response = response.withHeader("retry-after", Long.toString(Math.ceilDiv(millis, MILLIS_PER_SECOND)))
                    .withHeader("retry-after-ms", Long.toString(millis));
        }
        return response;
    }

    /** Returns the response to a request that was rejected before anything was executed. */
    static OutboundResponse notRunResponse(ErrorCode code, String detail) {
        return toResponse(notRunRefusal(code, detail), Optional.empty());
    }

    static Refusal notRunRefusal(ErrorCode code, String detail) {
        return new Refusal(code, ExecutionStatus.NOT_RUN, detail, OptionalLong.empty());
    }

    static OutboundResponse notRunResponse(AmaranthlockException error) {
        return notRunResponse(error.code(), error.getMessage());
    }

    static String executionStatusText(ExecutionStatus executionStatus) {
        return executionStatus.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String title(String code) {
        String words = code.replace('-', ' ');
        return Character.toUpperCase(words.charAt(0)) + words.substring(1);
    }
}
