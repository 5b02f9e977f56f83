package org.amaranthlock.transport.http;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpConnectionFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.model.HttpStatuses;
import org.amaranthlock.protocol.MalformedDataException;

/**
 * Fails requests whose response has a head that HTTP does not allow (RFC 9110 and RFC 9112), for what ServiceTalk's decoder
 * accepts beyond it, and closes their connection.
 */
final class MalformedResponseFilter implements StreamingHttpConnectionFilterFactory {
    private static final char DELETE = 0x7f;

    /** The compiler warns of {@code close}, which the filter inherits and does not change. */
    @Override
    @SuppressWarnings("try")
    public StreamingHttpConnectionFilter create(FilterableStreamingHttpConnection connection) {
        return new StreamingHttpConnectionFilter(connection) {
            @Override
            public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
                return delegate().request(request).flatMap(this::validate);
            }

            private Single<StreamingHttpResponse> validate(StreamingHttpResponse response) {
                Optional<String> fault = findFault(response);
                return fault.isEmpty()
                        ? Single.succeeded(response)
                        : closeAsync().concat(Single.failed(malformed(fault.get())));
            }
        };
    }

    private static MalformedDataException malformed(String fault) {
        return new MalformedDataException("the response has " + fault + "; use another target");
    }

    private static Optional<String> findFault(StreamingHttpResponse response) {
        if (!HttpStatuses.isValid(response.status().code())) {
            return Optional.of("no status of HTTP");
        }
        if (!isFramingUnderstood(response)) {
            return Optional.of("an unknown transfer coding");
        }
        return hasControlCharacter(response.headers())
                ? Optional.of("a control character in a header")
                : Optional.empty();
    }

    private static boolean hasControlCharacter(HttpHeaders headers) {
        for (Map.Entry<CharSequence, CharSequence> header : headers) {
            if (header.getValue().chars().anyMatch(MalformedResponseFilter::isControl)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the body is not coded, or consists of chunks only (RFC 9112, section 6.1). */
    private static boolean isFramingUnderstood(StreamingHttpResponse response) {
        List<String> codings = transferCodings(response.headers());
        if (codings.isEmpty()) {
            return true;
        }
        return codings.size() == 1
                && codings.getFirst().strip().equalsIgnoreCase(HttpHeaderValues.CHUNKED.toString())
                && response.version().compareTo(HttpProtocolVersion.HTTP_1_1) >= 0;
    }

    private static List<String> transferCodings(HttpHeaders headers) {
        List<String> codings = new ArrayList<>();
        headers.valuesIterator(HttpHeaderNames.TRANSFER_ENCODING)
                .forEachRemaining(value -> codings.add(value.toString()));
        return codings;
    }

    private static boolean isControl(int character) {
        return character < ' ' && character != '\t' || character == DELETE;
    }
}
