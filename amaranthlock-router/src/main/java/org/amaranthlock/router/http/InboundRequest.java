package org.amaranthlock.router.http;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * HTTP request that was received completely.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param query query without the question mark, empty if none
 * @param headers headers with lower-case names; repeated headers are joined by commas
 * @param body the body; must not be modified after construction
 */
record InboundRequest(String method, String path, String query, Map<String, String> headers, byte[] body) {
    private static final String BEARER = "bearer ";

    InboundRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(query, "query");
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Returns the value of a header, if it is present and not blank. */
    Optional<String> header(String lowerCaseName) {
        return Optional.ofNullable(headers.get(lowerCaseName))
                .map(String::strip)
                .filter(value -> !value.isEmpty());
    }

    /** Returns the key of the {@code Authorization: Bearer} header. */
    Optional<String> bearerKey() {
        return header("authorization")
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(value -> value.substring(BEARER.length()).strip())
                .filter(key -> !key.isEmpty());
    }

    /** Returns the request target: the path with the query. */
    String target() {
        return query.isEmpty() ? path : path + "?" + query;
    }
}
